package io.agatelane.node.forward;

import io.agatelane.core.fleet.ServiceDemand;
import io.agatelane.core.fleet.command.PeerLoads.Source;
import io.agatelane.node.fleet.FleetState;
import java.util.EnumSet;
import java.util.Map;

/** Demands that the other routers have reported, summed at most every 40 ms. Thread-safe. */
final class PeerDemands {
    // Digests come every 200 ms; summing for each request would cost more than the request's own decisions.
    private static final long REFRESH_MILLIS = 40;

    private final FleetState state;
    private volatile Sums sums = new Sums(Map.of(), Long.MIN_VALUE);

    private record Sums(Map<ServiceDemand.Key, ServiceDemand> byKey, long atMillis) {}

    PeerDemands(FleetState state) {
        this.state = state;
    }

    /** Sums over the other routers, by service, account and priority. */
    Map<ServiceDemand.Key, ServiceDemand> sums(long nowMillis) {
        Sums known = sums;
        if (known.atMillis() == Long.MIN_VALUE || nowMillis - known.atMillis() >= REFRESH_MILLIS) {
            known = new Sums(state.peerServices().sums(EnumSet.allOf(Source.class), Map.of(), nowMillis), nowMillis);
            sums = known;
        }
        return known.byKey();
    }

    /** Number of routers whose demand is known, this one included. */
    int reportingRouters(long nowMillis) {
        ServiceDemand routers = sums(nowMillis).get(ServiceDemand.Key.ROUTERS);
        return 1 + (routers == null ? 0 : routers.inFlight());
    }
}
