package io.agatelane.node.forward;

import java.util.concurrent.CompletableFuture;

/** A request that has no complete response yet, as the stop of the router sees it. Thread-safe. */
final class UnfinishedRequest {
    private volatile CompletableFuture<byte[]> body = new CompletableFuture<>();
    private volatile ForwardCall call;

    /** The request's body is being received. */
    void receives(CompletableFuture<byte[]> newBody) {
        body = newBody;
    }

    /** The request is being forwarded, or waits for an upstream. */
    void isForwardedBy(ForwardCall newCall) {
        call = newCall;
    }

    /** Refuses the request if its body has not arrived, or if it waits for an upstream and the time left is too short. */
    void refuseUnlessStarted() {
        ForwardCall started = call;
        if (started != null) {
            started.refuseIfLate();
        } else {
            body.completeExceptionally(Shutdown.refusal());
        }
    }

    /** Gives the request its final response, because the process ends. */
    void end() {
        ForwardCall started = call;
        if (started != null) {
            started.end();
        } else {
            body.completeExceptionally(Shutdown.refusal());
        }
    }
}
