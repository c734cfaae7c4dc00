package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import io.agatelane.node.fakes.FakeRouterControl;
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

    // Guards against a router whose wall clock is set back and that counts its configuration as outdated for as long,
    // although a relay confirms it: each request with an API key is refused.
    @Test
    public void relayConfirmsTheConfigurationAfterTheWallClockIsSetBack() {
        FakeControl control = new FakeControl();
        FakeRouterControl router = new FakeRouterControl(control);
        FakeFleet fleet = new FakeFleet(control, new FakeKeyValueStore(control), 1);
        FleetState state = new FleetState();
        StorePoller poller =
                new StorePoller(fleet, state, router, router, new Random(1), POLL_MILLIS, new MetricRegistry());
        poller.start();
        control.advance(POLL_MILLIS);
        confirm(poller, router, control, 2_000);
        router.stepWallClock(-20_000);
        confirm(poller, router, control, 6_000);
        long ageMillis = state.snapshot()
                .configVerifiedAt()
                .orElseThrow()
                .ageMillis(router.monotonicMillis(), router.epochMillis());
        assertTrue(ageMillis <= 2 * POLL_MILLIS, "the age is " + ageMillis);
    }

    private static void confirm(StorePoller poller, FakeRouterControl router, FakeControl control, long millis) {
        for (int i = 0; i < millis / 200; i++) {
            control.advance(200);
            poller.compareWithRelay(poller.content().orElseThrow(), router.now().earlierBy(300));
        }
    }

    // Guards against upstreams that left while the store rejected this router, and that still get requests when the
    // router is bound by the directory again, 3 s after the store is back.
    @Test(groups = "known-red")
    public void upstreamsThatLeftDuringAnOutageAreDroppedInTime() {
        for (long outageMillis = 8_000; outageMillis <= 9_400; outageMillis += 100) {
            FakeControl control = new FakeControl();
            FakeFleet fleet = new FakeFleet(control, new FakeKeyValueStore(control), 2);
            FleetState state = new FleetState();
            new StorePoller(fleet, state, control, control, new Random(1), POLL_MILLIS, new MetricRegistry()).start();
            control.advance(2_000);
            fleet.setStoreDown(true);
            control.advance(outageMillis);
            fleet.setListed("e1", false);
            fleet.setStoreDown(false);
            control.advance(3_000);
            assertEquals(state.snapshot().view().upstreams().size(), 1, "after an outage of ms " + outageMillis);
        }
    }
}
