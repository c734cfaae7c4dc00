package io.agatelane.node.api;

import java.util.concurrent.CompletableFuture;

/** Reads what the operator, the upstreams and the routers have written to the platform's store. */
public interface FleetSource {
    /**
     * Reads the newest state. The result is at least as new as the moment of the call.
     *
     * @return fails with {@code PLATFORM_UNAVAILABLE} when the store gave no usable answer
     */
    CompletableFuture<FleetRead> read();
}
