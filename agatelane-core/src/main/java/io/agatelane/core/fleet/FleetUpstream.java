package io.agatelane.core.fleet;

import java.util.Map;

/**
 * An upstream as registered in the store, described by its own entry.
 *
 * @param id unique among all upstreams; may stay the same across restarts
 * @param incarnation start time in milliseconds since 1970; 0 when the entry does not contain it
 * @param address IP:PORT
 * @param slots number of requests that the upstream runs at the same time
 * @param draining whether the upstream takes no new requests
 * @param weightsVersions version of the loaded weights, by model
 */
public record FleetUpstream(
        String id,
        long incarnation,
        String service,
        String address,
        String zone,
        int slots,
        boolean draining,
        Map<String, Long> weightsVersions) {
    public FleetUpstream {
        weightsVersions = Map.copyOf(weightsVersions);
    }

    /** Returns the same upstream, taking no new requests. */
    public FleetUpstream asDraining() {
        return new FleetUpstream(id, incarnation, service, address, zone, slots, true, weightsVersions);
    }

    /** Identifies one incarnation of the upstream, so that a restarted upstream has another key. */
    public String key() {
        return id + '@' + incarnation;
    }
}
