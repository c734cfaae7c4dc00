package io.agatelane.node.io.orders;

import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.model.Upstream;
import io.agatelane.core.orders.query.OrderAssignment;
import io.agatelane.node.api.ConfigView;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.fakes.FakeRouterControl;
import java.util.HashMap;
import java.util.Map;

/** Baseline for comparison: writes the desired state and sends it, without fencing number, lease or read-back. */
final class NaiveOrderSender {
    private final FakeRouterControl control;
    private final KeyValueStore store;
    private final EngineOrderClient engines;
    private final Map<String, String> orderedVersions = new HashMap<>();

    NaiveOrderSender(FakeRouterControl control, ConfigView config, KeyValueStore store, EngineOrderClient engines) {
        this.control = control;
        this.store = store;
        this.engines = engines;
        control.every("naive", 500, () -> tick(config.current()));
    }

    private void tick(ConfigSnapshot config) {
        for (Upstream upstream : config.upstreams()) {
            OrderAssignment.desiredState(upstream, config).ifPresent(desired -> {
                if (desired.weightsVersion().equals(orderedVersions.put(upstream.name(), desired.weightsVersion()))) {
                    return;
                }
                String key = "orders/" + upstream.name();
                var unusedWrite = store.get(key)
                        .thenCompose(old -> store.compareAndSet(
                                key, old.map(KeyValue::revision).orElse(0L), new byte[0]))
                        .thenAccept(revision -> control.execute(() -> {
                            var unused = engines.sendOrder(upstream, Long.MAX_VALUE, desired);
                        }));
            });
        }
    }
}
