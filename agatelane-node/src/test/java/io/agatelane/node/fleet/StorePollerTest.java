package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.node.api.FleetReadResult;
import io.agatelane.node.api.FleetSource;
import io.agatelane.node.control.Watchdog;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import io.agatelane.node.fakes.FakeRouterControl;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
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

    // Guards against a router that never reads the store again because the end of one read was lost.
    @Test
    public void readThatNeverEndsDoesNotEndThePolling() {
        FakeControl control = new FakeControl();
        FakeFleet fleet = new FakeFleet(control, new FakeKeyValueStore(control), 1);
        AtomicInteger reads = new AtomicInteger();
        FleetSource source =
                () -> reads.incrementAndGet() == 3 ? new CompletableFuture<FleetReadResult>() : fleet.read();
        FleetState state = new FleetState();
        MetricRegistry metrics = new MetricRegistry();
        StorePoller poller = new StorePoller(source, state, control, control, new Random(1), POLL_MILLIS, metrics);
        Watchdog watchdog = new Watchdog(control, metrics);
        poller.watch(watchdog);
        watchdog.start();
        poller.start();
        control.advance(3 * POLL_MILLIS);
        fleet.requestVersion(2);
        control.advance(5_000);
        assertEquals(state.snapshot().view().newestWeightsVersions().get(FakeFleet.MODEL), (Long) 2L);
        int before = reads.get();
        control.advance(10 * POLL_MILLIS);
        assertEquals(reads.get() - before, 10, "one loop reads");
    }

    // Guards against a configuration that waits for a long directory, and against upstreams of later pages that are not
    // used, are used before they are listed, or stay.
    @Test
    public void configurationDoesNotWaitForALongDirectory() {
        FakeControl control = new FakeControl();
        PagedDirectory source = new PagedDirectory(control, 20, 500);
        FleetState state = new FleetState();
        new StorePoller(source, state, control, control, new Random(1), POLL_MILLIS, new MetricRegistry()).start();
        control.advance(1_200);
        assertEquals(state.snapshot().view().upstreams().size(), 3, "those of the pages that were read");
        source.configure(2);
        control.advance(POLL_MILLIS);
        assertEquals(state.snapshot().config().orElseThrow().version(), 2);
        control.advance(10_000);
        assertEquals(state.snapshot().view().upstreams().size(), 20);
        source.setUpstreams(5);
        control.advance(25_000);
        assertEquals(state.snapshot().view().upstreams().size(), 5);
        source.failPages(true);
        source.setUpstreams(6);
        source.configure(3);
        control.advance(10_000);
        assertEquals(state.snapshot().config().orElseThrow().version(), 3);
        assertEquals(state.snapshot().view().upstreams().size(), 5, "the last whole directory");
        source.failPages(false);
        control.advance(10_000);
        assertEquals(state.snapshot().view().upstreams().size(), 6);
    }

    // Guards against upstreams of a possibly stale scan that are used although the relay has read other ones.
    @Test
    public void staleScanThatTheRelayDoesNotConfirmIsNotUsed() {
        FakeControl control = new FakeControl();
        PagedDirectory source = new PagedDirectory(control, 5, 5);
        FleetState state = new FleetState();
        StorePoller poller =
                new StorePoller(source, state, control, control, new Random(1), POLL_MILLIS, new MetricRegistry());
        poller.start();
        control.advance(200);
        assertEquals(state.snapshot().view().upstreams().size(), 5);
        source.setStaleUpstreams(3);
        Set<Integer> used = new HashSet<>();
        poller.subscribe(() -> used.add(state.snapshot().view().upstreams().size()));
        for (int i = 0; i < 60; i++) {
            poller.compareWithRelay(source.content(), control.now());
            control.advance(200);
        }
        assertEquals(used, Set.of(5));
        source.setUpstreams(6);
        for (int i = 0; i < 15; i++) {
            poller.compareWithRelay(source.content(), control.now());
            control.advance(200);
        }
        assertEquals(state.snapshot().view().upstreams().size(), 6);
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
