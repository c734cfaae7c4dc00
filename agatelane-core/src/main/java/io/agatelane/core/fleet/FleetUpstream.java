package io.agatelane.core.fleet;

import java.util.Map;

/**
 * An upstream as it describes itself in the directory.
 *
 * @param id unique over all upstreams; may be kept over a restart
 * @param incarnation start time in milliseconds since 1970; 0 when not stated
 * @param address IP:PORT
 * @param slots requests that run at once
 * @param draining whether it takes no new work
 * @param weightsVersions model to version of the loaded weights
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

    /** Identity of this start of the upstream. */
    public String key() {
        return id + '@' + incarnation;
    }
}
