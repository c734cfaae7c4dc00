package io.agatelane.core.orders.query;

import io.agatelane.core.hash.Rendezvous;
import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.model.Upstream;
import io.agatelane.core.orders.DesiredState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Determines, from the configuration and the live routers, the desired state of each engine and who sends its orders.
 */
public final class OrderAssignment {
    private OrderAssignment() {}

    /** Returns the engines whose orders a router sends, with their desired states, in name order. */
    public static Map<String, DesiredState> ordersOf(String vmName, List<String> liveVms, ConfigSnapshot config) {
        List<Long> hashes = new ArrayList<>(liveVms.size());
        liveVms.forEach(name -> hashes.add(Rendezvous.hash(name)));
        Map<String, DesiredState> orders = new TreeMap<>();
        for (Upstream upstream : config.upstreams()) {
            Optional<DesiredState> desired = desiredState(upstream, config);
            if (desired.isPresent()) {
                int selected =
                        Rendezvous.indexOfHighest(Rendezvous.hash("orders/" + upstream.name()), hashes, hash -> hash);
                if (selected >= 0 && liveVms.get(selected).equals(vmName)) {
                    orders.put(upstream.name(), desired.get());
                }
            }
        }
        return orders;
    }

    /**
     * Returns the state that the configuration requires of an engine: its first model with that model's weights
     * version. Empty for an engine that receives no orders, for example because it is draining.
     */
    public static Optional<DesiredState> desiredState(Upstream upstream, ConfigSnapshot config) {
        if (!upstream.isEngine() || upstream.draining() || upstream.models().isEmpty()) {
            return Optional.empty();
        }
        return config.model(upstream.models().get(0))
                .filter(model -> !model.weightsVersion().isEmpty())
                .map(model -> new DesiredState(model.name(), model.weightsVersion(), "", ""));
    }

    /** Returns the names of the engines that have the same first model, without draining ones. */
    public static Set<String> enginesOfSameModel(Upstream upstream, ConfigSnapshot config) {
        String model = upstream.models().get(0);
        return config.upstreamsOfModel(model).stream()
                .filter(other -> !other.draining() && other.models().get(0).equals(model))
                .map(Upstream::name)
                .collect(Collectors.toUnmodifiableSet());
    }
}
