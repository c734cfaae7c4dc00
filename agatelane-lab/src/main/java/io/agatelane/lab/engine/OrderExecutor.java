package io.agatelane.lab.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CompletableFuture;

/** Executes orders, which change model, weights, adapter or role of the engine. */
@SuppressWarnings("FutureReturnValueIgnored") // Each result reaches the caller through its own future.
final class OrderExecutor {
    private final EngineCore core;
    private final EngineSettings settings;
    private final KvBlockStore blockStore;
    private int runningLoads;

    OrderExecutor(EngineCore core, EngineSettings settings, KvBlockStore blockStore) {
        this.core = core;
        this.settings = settings;
        this.blockStore = blockStore;
        core.onReset(this::reset);
    }

    /** Completes with true when the order is in force, false when its fencing number is stale. */
    CompletableFuture<Boolean> accept(ObjectNode order) {
        CompletableFuture<Boolean> outcome = new CompletableFuture<>();
        core.execute(() -> start(order, outcome));
        return outcome;
    }

    private void reset() {
        if (runningLoads > 0) {
            blockStore.addRunningLoads(-runningLoads);
            runningLoads = 0;
        }
    }

    private void start(ObjectNode order, CompletableFuture<Boolean> outcome) {
        long fencingNumber = order.path("fencing_number").asLong();
        LabEngineState current = core.state();
        if (isStale(fencingNumber)) {
            core.counters().add("staleOrders", 1);
            outcome.complete(false);
            return;
        }
        core.changeState(current.withFencingNumber(Math.max(fencingNumber, current.fencingNumber())));
        if (stateAfter(order, current).hasSameWeights(current)) {
            core.changeState(stateAfter(order, core.state()));
            outcome.complete(true);
            return;
        }
        runningLoads++;
        core.counters().add("weightLoads", 1);
        core.changeState(core.state().withLoading(true));
        blockStore.addRunningLoads(1).whenComplete((fleetLoads, failure) -> {
            // Loads share the weight store: while more than two run at once, each takes longer.
            double factor = failure == null ? Math.max(1, fleetLoads / 2.0) : 1;
            core.schedule(settings.loadWeightsMillis() * factor, () -> finishLoad(order, outcome));
        });
    }

    private void finishLoad(ObjectNode order, CompletableFuture<Boolean> outcome) {
        runningLoads--;
        blockStore.addRunningLoads(-1);
        LabEngineState current = core.state();
        if (isStale(order.path("fencing_number").asLong())) {
            core.changeState(current.withLoading(runningLoads > 0));
            outcome.complete(false);
            return;
        }
        // Without the check of fencing numbers, the load that ends last determines the weights.
        core.changeState(stateAfter(order, current).withLoading(runningLoads > 0));
        outcome.complete(true);
    }

    private boolean isStale(long fencingNumber) {
        return settings.checksFencing() && fencingNumber < core.state().fencingNumber();
    }

    private static LabEngineState stateAfter(ObjectNode order, LabEngineState current) {
        return new LabEngineState(
                current.fencingNumber(),
                order.path("model").asText(current.model()),
                order.path("weights_version").asText(current.weightsVersion()),
                order.path("adapter").asText(current.adapter()),
                order.path("role").asText(current.role()),
                current.loading());
    }
}
