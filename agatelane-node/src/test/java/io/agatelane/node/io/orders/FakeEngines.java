package io.agatelane.node.io.orders;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.model.Upstream;
import io.agatelane.core.orders.DesiredState;
import io.agatelane.core.orders.EngineState;
import io.agatelane.core.orders.SendOutcome;
import io.agatelane.node.fakes.FakeControl;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** Engines that load weights in simulated time and record the versions that they loaded. */
final class FakeEngines {
    private final FakeControl control;
    private final Map<String, Engine> engines = new TreeMap<>();
    private final Set<String> loading = new HashSet<>();
    long loadMillis = 2_000;
    int maxConcurrentLoads;
    int maxConcurrentPairLoads;

    FakeEngines(FakeControl control) {
        this.control = control;
    }

    Engine engine(String name) {
        return engines.computeIfAbsent(name, unused -> new Engine());
    }

    /** Returns the order client of one router. */
    Client client() {
        return new Client();
    }

    static final class Engine {
        String weights = "v1";
        long highestFencingNumber;
        int staleOrders;
        boolean down;
        final List<String> history = new ArrayList<>(List.of("v1"));
    }

    final class Client implements EngineOrderClient {
        /** Holds back sent orders, as in a process that is paused between its last check and the system call. */
        boolean holdOrders;

        private final ArrayDeque<Runnable> heldOrders = new ArrayDeque<>();
        int sentOrders;

        void releaseOrders() {
            holdOrders = false;
            while (!heldOrders.isEmpty()) {
                heldOrders.poll().run();
            }
        }

        @Override
        public CompletableFuture<EngineState> readState(Upstream upstream) {
            Engine engine = engine(upstream.name());
            CompletableFuture<EngineState> result = new CompletableFuture<>();
            control.after(1, () -> {
                if (engine.down) {
                    result.completeExceptionally(new AgatelaneException(FailureType.UPSTREAM_FAILED, "down"));
                } else {
                    result.complete(new EngineState("m", engine.weights, "", "serving"));
                }
            });
            return result;
        }

        @Override
        public CompletableFuture<SendOutcome> sendOrder(Upstream upstream, long fencingNumber, DesiredState desired) {
            sentOrders++;
            CompletableFuture<SendOutcome> result = new CompletableFuture<>();
            Runnable arrival = () -> arrive(upstream, fencingNumber, desired, result);
            if (holdOrders) {
                heldOrders.add(arrival);
            } else {
                control.after(1, arrival);
            }
            return result;
        }

        @Override
        public void close() {}

        private void arrive(
                Upstream upstream, long fencingNumber, DesiredState desired, CompletableFuture<SendOutcome> result) {
            Engine engine = engine(upstream.name());
            if (engine.down) {
                result.complete(SendOutcome.REFUSED);
                return;
            }
            if (upstream.checksFencing() && fencingNumber < engine.highestFencingNumber) {
                engine.staleOrders++;
                result.complete(SendOutcome.STALE);
                return;
            }
            engine.highestFencingNumber = fencingNumber;
            loading.add(upstream.name());
            maxConcurrentLoads = Math.max(maxConcurrentLoads, loading.size());
            long pair = loading.stream().filter(name -> name.startsWith("pair")).count();
            maxConcurrentPairLoads = Math.max(maxConcurrentPairLoads, (int) pair);
            control.after(loadMillis, () -> {
                loading.remove(upstream.name());
                if (!engine.weights.equals(desired.weightsVersion())) {
                    engine.weights = desired.weightsVersion();
                    engine.history.add(engine.weights);
                }
                result.complete(SendOutcome.IN_FORCE);
            });
        }
    }
}
