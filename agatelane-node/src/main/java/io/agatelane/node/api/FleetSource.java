package io.agatelane.node.api;

import java.util.concurrent.CompletableFuture;

/** Reads what the operator, the upstreams and the routers have written to the platform's store. */
public interface FleetSource {
    /**
     * Reads the newest state. The result includes every write that completed before the call.
     *
     * @return fails with {@code PLATFORM_UNAVAILABLE} when the store returned no usable response
     */
    CompletableFuture<FleetReadResult> read();

    /**
     * Reads a state that may lack recent writes, which is cheaper for the store. Sources without such reads return the
     * newest state.
     *
     * @return fails as {@link #read} does
     */
    default CompletableFuture<FleetReadResult> readPossiblyStale() {
        return read();
    }
}
