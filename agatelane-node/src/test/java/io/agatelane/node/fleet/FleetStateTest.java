package io.agatelane.node.fleet;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.ClockReading;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.FleetView;
import io.agatelane.core.fleet.command.AbandonedRequests.Abandoned;
import io.agatelane.core.fleet.command.CrashSuspects;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;

public class FleetStateTest {
    private static final long REQUEST = 7;
    private static final long READ_MILLIS = 700;

    private final Abandoned abandoned = new Abandoned(REQUEST, 0);

    // Guards against a request whose crashes are never seen because its caller always leaves before them.
    @Test
    public void endOfAnUpstreamBlamesTheRequestsGivenUpThere() {
        assertTrue(isRefusedAfterEnds(false, READ_MILLIS));
    }

    // Guards against a slow request that is refused because upstreams leave as planned.
    @Test
    public void plannedEndBlamesNoRequest() {
        assertFalse(isRefusedAfterEnds(true, READ_MILLIS));
    }

    // Guards against a slow request that is refused because upstreams end long after it was given up.
    @Test
    public void endLongAfterwardsBlamesNoRequest() {
        assertFalse(isRefusedAfterEnds(false, 15_000));
    }

    // Guards against a crash that counts twice: when the connection is refused and when the entry is gone.
    @Test
    public void oneEndCountsOnce() {
        FleetState state = new FleetState();
        for (int i = 0; i < CrashSuspects.QUARANTINE_CRASHES - 1; i++) {
            FleetUpstream upstream = upstream(i, false);
            read(state, List.of(upstream), 0);
            state.abandoned().record(upstream.key(), abandoned);
            state.recordEnded(upstream, 1);
            read(state, List.of(), READ_MILLIS);
        }
        assertFalse(state.suspects().isQuarantined(REQUEST, READ_MILLIS));
    }

    private boolean isRefusedAfterEnds(boolean draining, long goneMillis) {
        FleetState state = new FleetState();
        for (int i = 0; i < CrashSuspects.QUARANTINE_CRASHES; i++) {
            read(state, List.of(upstream(i, false)), 0);
            state.abandoned().record(upstream(i, false).key(), abandoned);
            read(state, List.of(upstream(i, draining)), 0);
            read(state, List.of(), goneMillis + i * 200);
        }
        return state.suspects().isQuarantined(REQUEST, goneMillis + 1_000);
    }

    private static void read(FleetState state, List<FleetUpstream> upstreams, long nowMillis) {
        FleetView view = new FleetView(Optional.empty(), upstreams, Map.of(), Set.of());
        ClockReading now = new ClockReading(nowMillis, nowMillis);
        state.update(view, now, now, RolloutRecord.NONE, WeightsRequestTimes.NONE, false);
    }

    private static FleetUpstream upstream(int number, boolean draining) {
        return new FleetUpstream("e" + number, 1, "x", "127.0.0.1:1", "z", 4, draining, Map.of());
    }
}
