package io.agatelane.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Immutable snapshot of the deployment, as of one read of the store.
 *
 * @param config empty when the store holds no readable configuration
 * @param newestWeightsVersions newest weights version that the operator has requested, by model
 * @param reservedUpstreamIds upstreams that are about to load weights and take no requests until they have done so
 */
public record FleetView(
        Optional<FleetConfig> config,
        List<FleetUpstream> upstreams,
        Map<String, Long> newestWeightsVersions,
        Set<String> reservedUpstreamIds) {
    /** The snapshot before the first read of the store. */
    public static final FleetView EMPTY = new FleetView(Optional.empty(), List.of(), Map.of(), Set.of());

    public FleetView {
        upstreams = List.copyOf(upstreams);
        newestWeightsVersions = Map.copyOf(newestWeightsVersions);
        reservedUpstreamIds = Set.copyOf(reservedUpstreamIds);
    }

    /** Returns the upstreams of a service that are not draining. */
    public List<FleetUpstream> usable(String service) {
        return upstreams.stream()
                .filter(upstream -> upstream.service().equals(service) && !upstream.draining())
                .toList();
    }
}
