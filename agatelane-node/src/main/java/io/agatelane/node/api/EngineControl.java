package io.agatelane.node.api;

import io.agatelane.core.fleet.FleetUpstream;
import java.util.concurrent.CompletableFuture;

/** Asks engines for their state and orders them to load weights. */
public interface EngineControl {
    /** Reads the state of an engine. */
    CompletableFuture<EngineStatus> status(FleetUpstream upstream);

    /** Asks a store of kept KV cache for its incarnation, which changes when it restarts. */
    CompletableFuture<Long> cacheStoreIncarnation(String address);

    /**
     * Orders an engine to load weights after its runs have finished.
     *
     * @return fails with {@code WRITE_OUTCOME_UNKNOWN} when there was no answer: the order may still be carried out
     */
    CompletableFuture<OrderAnswer> load(FleetUpstream upstream, WeightsOrder order);
}
