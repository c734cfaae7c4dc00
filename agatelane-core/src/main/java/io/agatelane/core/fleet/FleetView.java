package io.agatelane.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What a router knows of the deployment after one read of the store.
 *
 * @param config empty when the store holds no readable configuration
 * @param newestWeights model to the newest version that the operator named
 * @param reserved ids of upstreams that are about to load weights and take no requests meanwhile
 */
public record FleetView(
        Optional<FleetConfig> config,
        List<FleetUpstream> upstreams,
        Map<String, Long> newestWeights,
        Set<String> reserved) {
    /** Nothing is known yet. */
    public static final FleetView EMPTY = new FleetView(Optional.empty(), List.of(), Map.of(), Set.of());

    public FleetView {
        upstreams = List.copyOf(upstreams);
        newestWeights = Map.copyOf(newestWeights);
        reserved = Set.copyOf(reserved);
    }

    /** The upstreams of a service that take new work. */
    public List<FleetUpstream> usable(String service) {
        return upstreams.stream()
                .filter(upstream -> upstream.service().equals(service) && !upstream.draining())
                .toList();
    }
}
