package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import java.util.Random;
import org.testng.annotations.Test;

public class StorePollerTest {
    private static final long POLL_MILLIS = 700;

    // Guards against a router that stops to follow the store because it failed to apply what it had read once.
    @Test
    public void failureToApplyAReadDoesNotEndThePolling() {
        FakeControl control = new FakeControl();
        FakeFleet fleet = new FakeFleet(control, new FakeKeyValueStore(control), 1);
        FleetState state = new FleetState();
        StorePoller poller =
                new StorePoller(fleet, state, control, control, new Random(1), POLL_MILLIS, new MetricRegistry());
        boolean[] failed = new boolean[1];
        poller.subscribe(() -> {
            if (!failed[0]) {
                failed[0] = true;
                throw new IllegalStateException("an entry that the listener cannot handle");
            }
        });
        poller.start();
        control.advance(POLL_MILLIS);
        fleet.requestVersion(2);
        control.advance(2 * POLL_MILLIS);
        assertEquals(state.snapshot().view().newestWeightsVersions().get(FakeFleet.MODEL), (Long) 2L);
    }

    // Guards against routers that cost the store several rejected calls a second each while it turns them away, and
    // against one that notices late that the store is back.
    @Test
    public void rejectedReadsAreRepeatedLessAndLessOften() {
        FakeControl control = new FakeControl();
        FakeFleet fleet = new FakeFleet(control, new FakeKeyValueStore(control), 1);
        FleetState state = new FleetState();
        new StorePoller(fleet, state, control, control, new Random(1), POLL_MILLIS, new MetricRegistry()).start();
        control.advance(5_000);
        fleet.setStoreDown(true);
        int before = fleet.newestReads();
        control.advance(10_000);
        int rejected = fleet.newestReads() - before;
        assertTrue(rejected <= 12, "rejected " + rejected);
        fleet.setStoreDown(false);
        fleet.requestVersion(2);
        control.advance(1_500);
        assertEquals(state.snapshot().view().newestWeightsVersions().get(FakeFleet.MODEL), (Long) 2L);
    }
}
