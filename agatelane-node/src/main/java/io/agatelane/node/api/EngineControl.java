package io.agatelane.node.api;

import io.agatelane.core.fleet.FleetUpstream;
import java.util.concurrent.CompletableFuture;

/** Reads the state of engines and orders them to load weights. */
public interface EngineControl {
    /** Reads the state of an engine. */
    CompletableFuture<EngineStatus> status(FleetUpstream upstream);

    /** Reads the incarnation of a store of exported KV caches; it changes when the store restarts. */
    CompletableFuture<Long> cacheStoreIncarnation(String address);

    /**
     * Orders an engine to load weights once its running requests have finished.
     *
     * @return fails with {@code WRITE_OUTCOME_UNKNOWN} when there was no response: the order may still be carried out
     */
    CompletableFuture<OrderResponse> loadWeights(FleetUpstream upstream, WeightsOrder order);
}
