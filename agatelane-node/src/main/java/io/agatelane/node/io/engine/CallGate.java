package io.agatelane.node.io.engine;

import java.util.concurrent.CompletableFuture;

/** Counts running requests and refuses new ones during a shutdown. */
final class CallGate {
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private long running;
    private boolean refusing;

    /** Counts a request as running; returns false when it must be refused. */
    synchronized boolean enter() {
        if (refusing) {
            return false;
        }
        running++;
        return true;
    }

    void leave() {
        boolean empty;
        synchronized (this) {
            running--;
            empty = refusing && running == 0;
        }
        if (empty) {
            drained.complete(null);
        }
    }

    void refuseNew() {
        boolean empty;
        synchronized (this) {
            refusing = true;
            empty = running == 0;
        }
        if (empty) {
            drained.complete(null);
        }
    }

    /** Completes once new requests are refused and none is running. */
    CompletableFuture<Void> drained() {
        return drained.copy();
    }
}
