package io.agatelane.node.api;

import java.util.concurrent.CompletableFuture;

/** A component that serves requests and can be shut down without interrupting one. */
public interface Drainable {
    /** Refuses requests that arrive from now on with {@code SHUTTING_DOWN}. */
    void refuseNewRequests();

    /** Completes when no request is running and every outcome is recorded. */
    CompletableFuture<Void> drained();
}
