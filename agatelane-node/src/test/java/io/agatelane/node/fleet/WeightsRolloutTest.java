package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.ClockReading;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.RequestedWeights;
import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.StaleWeightsFilter;
import io.agatelane.node.api.EngineControl;
import io.agatelane.node.api.EngineStatus;
import io.agatelane.node.api.FleetReadResult;
import io.agatelane.node.api.FleetSource;
import io.agatelane.node.api.OrderResponse;
import io.agatelane.node.api.WeightsOrder;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import io.agatelane.node.fakes.FakeRouterControl;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class WeightsRolloutTest {
    private static final int ENGINES = 8;
    private static final int ROUTERS = 3;
    private static final long LEASE_MILLIS = 3_000;
    private static final long POLL_MILLIS = 700;
    private static final long ANNOUNCE_MILLIS = 350;
    // Shortest time that any deployment allows for loading new weights on all engines of a service.
    private static final long ALLOWED_MILLIS = 17_000;
    private static final int STEP_MILLIS = 50;

    private FakeControl control;
    private FakeKeyValueStore store;
    private FakeKeyValueStore.Copy empty;
    private FakeFleet fleet;
    private List<Router> routers;
    private Set<Integer> unreachableFrom;
    private Set<Integer> cutFromStore;

    private record Router(
            FakeRouterControl control, RolloutLeadership leadership, WeightsRollout rollout, FleetState state) {}

    @BeforeMethod
    public void start() {
        control = new FakeControl();
        store = new FakeKeyValueStore(control);
        empty = store.copy();
        fleet = new FakeFleet(control, store, ENGINES);
        routers = new ArrayList<>();
        unreachableFrom = new HashSet<>();
        cutFromStore = new HashSet<>();
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(router(i));
        }
        control.advance(2_000);
    }

    // Guards against engines that keep replaced weights, and against more concurrent loads than the engines can handle.
    @Test
    public void allEnginesGetTheNewestWeights() {
        fleet.requestVersion(2);
        control.advance(ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
        assertTrue(fleet.maxConcurrentLoads() <= 2, "loads at once: " + fleet.maxConcurrentLoads());
        assertEquals(fleet.accepted().size(), ENGINES);
    }

    // Guards against engines that wait to be announced while others could load, and against engines that are out of
    // service for longer than their load takes.
    @Test
    public void enginesAreReservedShortlyBeforeTheirLoad() {
        fleet.requestVersion(2);
        control.advance(ALLOWED_MILLIS);
        long reservedMillis = 0;
        int mostReserved = 0;
        fleet.requestVersion(3);
        for (int millis = 0; millis < ALLOWED_MILLIS && fleet.oldestVersion() < 3; millis += STEP_MILLIS) {
            control.advance(STEP_MILLIS);
            int reserved = holder().state().rolloutHints().reserved().size();
            reservedMillis += (long) reserved * STEP_MILLIS;
            mostReserved = Math.max(mostReserved, reserved);
        }
        assertEquals(fleet.oldestVersion(), 3);
        // A load, its announcement, a pause between two status requests and two periodic checks.
        long allowedMillis = 1_800 + ANNOUNCE_MILLIS + 300 + 2 * 150;
        assertTrue(reservedMillis < ENGINES * allowedMillis, "engine milliseconds out of service: " + reservedMillis);
        assertTrue(mostReserved <= 4, "engines out of service at once: " + mostReserved);
    }

    // Guards against engines that have crashed, but are still listed, and take the places of those that could load.
    @Test
    public void silentEnginesDoNotDelayTheOthers() {
        fleet.setSilent("e0", true);
        fleet.setSilent("e1", true);
        fleet.requestVersion(2);
        control.advance(ALLOWED_MILLIS);
        assertEquals(fleet.countWithVersion(2), ENGINES - 2);
        fleet.setSilent("e0", false);
        fleet.setSilent("e1", false);
        control.advance(ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
        assertTrue(fleet.maxConcurrentLoads() <= 2, "loads at once: " + fleet.maxConcurrentLoads());
    }

    // Guards against orders for a version that was replaced before its turn came.
    @Test
    public void versionsInARowEndWithTheNewest() {
        fleet.requestVersion(2);
        control.advance(3_000);
        fleet.requestVersion(3);
        control.advance(3_000);
        fleet.requestVersion(4);
        control.advance(ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(), 4);
        assertTrue(
                fleet.accepted().size() < 2 * ENGINES,
                "loads: " + fleet.accepted().size());
    }

    // Guards against routers that take the version which an engine has loaded of one model for that of its other model:
    // requests of the other one then expect weights that no engine has, and its own newer weights are never ordered.
    @Test
    public void newWeightsOfOneModelDoNotCountForAnother() {
        fleet.requestVersion(FakeFleet.OTHER_MODEL, 2);
        control.advance(ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(FakeFleet.OTHER_MODEL), 2);
        routers.forEach(router -> assertEquals(knownVersions(router, FakeFleet.MODEL), Set.of(1L)));
        fleet.requestVersion(FakeFleet.MODEL, 2);
        control.advance(ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(FakeFleet.MODEL), 2);
        assertEquals(fleet.accepted().size(), 2 * ENGINES);
        routers.forEach(router -> assertEquals(knownVersions(router, FakeFleet.MODEL), Set.of(2L)));
    }

    // Guards against a restarted router that counts the time for which replaced weights may be used from its own start,
    // and sends requests to an engine that returns with weights which were replaced before.
    @Test
    public void restartedRouterKnowsWhenWeightsWereReplaced() {
        fleet.requestVersion(2);
        control.advance(8_000);
        fleet.requestVersion(3);
        control.advance(5_000);
        Router restarted = router(ROUTERS);
        control.advance(1_000);
        ClockReading now = restarted.control().now();
        RequestedWeights requested =
                restarted.state().snapshot().requestedWeights(FakeFleet.MODEL).orElseThrow();
        RequestedWeights.RequestTime replaced = requested.replacementOf(1).orElseThrow();
        assertTrue(replaced.isKnown());
        long ageMillis = replaced.earliest().ageMillis(now.monotonicMillis(), now.epochMillis());
        assertTrue(ageMillis > 13_000, "the age is " + ageMillis);
    }

    // Guards against times of requested weights that are lost when all routers end for longer than the lease lasts.
    @Test
    public void requestTimesOutliveAllRouters() {
        fleet.requestVersion(2);
        control.advance(6_000);
        routers.forEach(router -> router.control().kill());
        control.advance(3 * LEASE_MILLIS);
        Router restarted = router(ROUTERS);
        control.advance(50);
        ClockReading now = restarted.control().now();
        RequestedWeights.RequestTime replaced = restarted
                .state()
                .snapshot()
                .requestedWeights(FakeFleet.MODEL)
                .orElseThrow()
                .replacementOf(1)
                .orElseThrow();
        assertTrue(replaced.isKnown());
        long ageMillis = replaced.earliest().ageMillis(now.monotonicMillis(), now.epochMillis());
        assertTrue(ageMillis >= 6_000 + 3 * LEASE_MILLIS, "the age is " + ageMillis);
    }

    // Guards against an observed version of one model that is taken for the version of another one.
    @Test
    public void observedVersionCountsForItsModelOnly() {
        FleetState state = routers.get(0).state();
        FleetUpstream upstream = state.snapshot().view().upstreams().get(0);
        state.recordWeightsVersion(upstream, FakeFleet.OTHER_MODEL, 7);
        assertEquals(state.weightsVersion(state.snapshot(), upstream, FakeFleet.MODEL), 1);
        assertEquals(state.weightsVersion(state.snapshot(), upstream, FakeFleet.OTHER_MODEL), 7);
    }

    // Guards against a roll-out that ends when its holder fails, and against a new holder that starts too early.
    @Test
    public void anotherRouterTakesOver() {
        fleet.requestVersion(2);
        control.advance(2_500);
        Router holder = holder();
        long ordersBefore = fleet.accepted().size();
        holder.control().kill();
        control.advance(LEASE_MILLIS - 1_000);
        assertEquals(fleet.accepted().size(), ordersBefore);
        control.advance(ALLOWED_MILLIS + LEASE_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
        assertTokensBelongToOneHolder();
    }

    // Guards against a suspended holder that resumes and continues its orders after another one has taken over.
    @Test
    public void suspendedHolderGivesNoFurtherOrders() {
        fleet.requestVersion(2);
        control.advance(2_500);
        Router holder = holder();
        holder.control().pause();
        control.advance(3 * LEASE_MILLIS);
        holder.control().resume();
        control.advance(ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
        assertTokensBelongToOneHolder();
        long highest = 0;
        for (WeightsOrder order : fleet.accepted()) {
            assertTrue(order.fencingToken() >= highest, "an order with an older token was carried out");
            highest = order.fencingToken();
        }
    }

    // Guards against an order without a response that is repeated, so that both are carried out and load twice.
    @Test
    public void ordersWithoutResponseAreNotCarriedOutTwice() {
        fleet.loseResponses(2_000);
        fleet.requestVersion(2);
        control.advance(6_000);
        fleet.loseResponses(-1);
        control.advance(2 * ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
        assertEquals(fleet.accepted().size(), ENGINES);
    }

    // Guards against an engine that restarts with old weights after the roll-out and never gets the newest ones.
    @Test
    public void restartedEngineGetsTheNewestWeights() {
        fleet.requestVersion(2);
        control.advance(ALLOWED_MILLIS);
        fleet.restart("e3", 1);
        control.advance(6_000);
        assertEquals(fleet.oldestVersion(), 2);
    }

    // Guards against a lost response to a write of the leadership that leaves the roll-out without a holder.
    @Test
    public void lostStoreResponsesOnlyDelay() {
        store.loseResponses(6);
        fleet.requestVersion(2);
        control.advance(2 * ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
        assertTokensBelongToOneHolder();
    }

    // Guards against orders without a lease while the store is down.
    @Test
    public void outageStopsOrdersUntilTheStoreIsBack() {
        fleet.requestVersion(2);
        control.advance(2_500);
        fleet.setStoreDown(true);
        control.advance(LEASE_MILLIS + 200);
        int orders = fleet.accepted().size();
        control.advance(10_000);
        assertEquals(fleet.accepted().size(), orders);
        fleet.setStoreDown(false);
        control.advance(ALLOWED_MILLIS + 2 * LEASE_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
    }

    // Guards against upstreams that are dropped because their entries expired while the store was down.
    @Test
    public void expiredEntriesHaveTimeToReturn() {
        fleet.setStoreDown(true);
        control.advance(3_000);
        fleet.setListed("e1", false);
        fleet.setStoreDown(false);
        control.advance(1_000);
        assertEquals(upstreamCount(), ENGINES);
        control.advance(4_000);
        assertEquals(upstreamCount(), ENGINES - 1);
    }

    // Guards against routers that refuse all prompts after an outage of the store, because they count weights that were
    // named at its end from its beginning and no engine has loaded the newer ones yet.
    @Test
    public void someEngineIsAllowedAfterWeightsNamedAtTheEndOfAnOutage() {
        fleet.setStoreDown(true);
        control.advance(8_000);
        fleet.setStoreDown(false);
        fleet.requestVersion(2);
        long refusedMillis = 0;
        for (long millis = 0; millis < ALLOWED_MILLIS; millis += STEP_MILLIS) {
            control.advance(STEP_MILLIS);
            refusedMillis += allowed(routers.get(0), 12_000).isEmpty() ? STEP_MILLIS : 0;
        }
        assertEquals(refusedMillis, 0, "milliseconds without an allowed engine");
    }

    // Guards against replaced weights that a router uses for the whole allowed time after the store has rejected it,
    // although others have known the newer ones all the time.
    @Test
    public void weightsNamedWhileARouterWasRejectedCountFromTheRecordedTime() {
        int rejected = routers.indexOf(holder()) == 0 ? 1 : 0;
        cutFromStore.add(rejected);
        control.advance(1_000);
        routers.forEach(router -> unreachableFrom.add(routers.indexOf(router)));
        fleet.requestVersion(2);
        control.advance(8_000);
        cutFromStore.remove(rejected);
        control.advance(2_000);
        assertFalse(allowed(routers.get(rejected), ALLOWED_MILLIS).isEmpty(), "the newer weights are recent");
        control.advance(ALLOWED_MILLIS - 10_000);
        assertEquals(allowed(routers.get(rejected), ALLOWED_MILLIS), List.of());
    }

    // Guards against a router that starts after weights were named while no router ran, and that uses the replaced ones
    // for the whole allowed time from its own first read because no record states the time.
    @Test(groups = "known-red")
    public void weightsNamedWhileNoRouterRanAreNotCountedFromTheStart() {
        fleet.requestVersion(2);
        control.advance(ALLOWED_MILLIS);
        routers.forEach(router -> router.control().kill());
        fleet.requestVersion(3);
        control.advance(4_000);
        Router restarted = router(ROUTERS);
        unreachableFrom.add(ROUTERS);
        control.advance(ALLOWED_MILLIS - 4_000);
        assertEquals(allowed(restarted, ALLOWED_MILLIS), List.of());
    }

    // Guards against a holder that reaches the store but no engine, and keeps the roll-out from those that could go on.
    @Test(groups = "known-red")
    public void holderThatReachesNoEngineLeavesTheRollout() {
        unreachableFrom.add(Integer.parseInt(holderName().substring("vm-".length())));
        fleet.requestVersion(2);
        control.advance(2 * ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
    }

    private String holderName() {
        return "vm-" + routers.indexOf(holder());
    }

    private static List<Candidate> allowed(Router router, long allowedMillis) {
        FleetSnapshot snapshot = router.state().snapshot();
        List<Candidate> candidates = router.state()
                .candidates(
                        snapshot,
                        "s",
                        Optional.of(FakeFleet.MODEL),
                        Set.of(),
                        router.control().monotonicMillis());
        return StaleWeightsFilter.allowedCandidates(
                candidates,
                snapshot.requestedWeights(FakeFleet.MODEL).orElseThrow(),
                router.control().now(),
                allowedMillis);
    }

    // The store as one router reaches it.
    private FleetSource storeFrom(int number) {
        return new FleetSource() {
            @Override
            public CompletableFuture<FleetReadResult> read() {
                return cutFromStore.contains(number) ? noResponse() : fleet.read();
            }

            @Override
            public CompletableFuture<FleetReadResult> readPossiblyStale() {
                return cutFromStore.contains(number) ? noResponse() : fleet.readPossiblyStale();
            }
        };
    }

    // The engines as one router reaches them.
    private EngineControl enginesFrom(int number) {
        return new EngineControl() {
            @Override
            public CompletableFuture<EngineStatus> status(FleetUpstream upstream) {
                return unreachableFrom.contains(number) ? noResponse() : fleet.status(upstream);
            }

            @Override
            public CompletableFuture<Long> cacheStoreIncarnation(String address) {
                return fleet.cacheStoreIncarnation(address);
            }

            @Override
            public CompletableFuture<OrderResponse> loadWeights(FleetUpstream upstream, WeightsOrder order) {
                return unreachableFrom.contains(number) ? noResponse() : fleet.loadWeights(upstream, order);
            }
        };
    }

    private static <T> CompletableFuture<T> noResponse() {
        return CompletableFuture.failedFuture(new AgatelaneException(FailureType.PLATFORM_UNAVAILABLE, "no response"));
    }

    // Guards against engines that refuse every order because the store went back and gives out lower revisions, and
    // against a router that takes the leadership over while the holder has not noticed that its lease is gone.
    @Test
    public void rolloutGoesOnWhenTheStoreGoesBack() {
        fleet.requestVersion(2);
        control.advance(2_500);
        long token = fleet.accepted().get(0).fencingToken();
        store.goBackTo(empty);
        control.advance(ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
        assertEquals(fleet.accepted().size(), ENGINES);
        assertTrue(fleet.accepted().get(ENGINES - 1).fencingToken() > token);
        assertTermsAreSound();
    }

    // Guards against a new holder that begins while one that is cut off still orders with a lease that the store lost.
    @Test
    public void holderThatMissesTheNewEraIsWaitedFor() {
        fleet.requestVersion(2);
        control.advance(2_500);
        Router holder = holder();
        holder.control().pause();
        store.goBackTo(empty);
        int orders = fleet.accepted().size();
        control.advance(LEASE_MILLIS);
        assertEquals(fleet.accepted().size(), orders);
        holder.control().resume();
        control.advance(ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
        assertTermsAreSound();
    }

    // Guards against a roll-out without a holder because the key of the last one hangs on a lease that the store has
    // given out again, to a router that renews it for ever.
    @Test
    public void recordOnTheLeaseOfAnotherIsRemoved() {
        fleet.requestVersion(2);
        control.advance(2_500);
        FakeKeyValueStore.Copy copy = store.copy();
        control.advance(500);
        store.goBackTo(copy);
        store.detachFromLease(RolloutRecord.KEY);
        control.advance(ALLOWED_MILLIS + 2 * LEASE_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
        assertTermsAreSound();
    }

    // Guards against requests that expect the weights of before, because the entries of the older copy state them.
    @Test
    public void loadedWeightsAreRememberedWhenTheStoreGoesBack() {
        FleetState state = routers.get(0).state();
        fleet.requestVersion(2);
        control.advance(ALLOWED_MILLIS);
        fleet.stateVersions(1);
        store.goBackTo(empty);
        control.advance(2 * POLL_MILLIS);
        assertEquals(knownVersions(routers.get(0), FakeFleet.MODEL), Set.of(2L));
        assertEquals(state.snapshot().view().newestWeightsVersions().get(FakeFleet.MODEL), (Long) 2L);
    }

    private void assertTermsAreSound() {
        assertTokensBelongToOneHolder();
        for (int i = 1; i < fleet.accepted().size(); i++) {
            WeightsOrder before = fleet.accepted().get(i - 1);
            WeightsOrder order = fleet.accepted().get(i);
            assertTrue(order.fencingToken() >= before.fencingToken(), "an order with an older token was carried out");
            long gapMillis =
                    fleet.acceptedAtMillis().get(i) - fleet.acceptedAtMillis().get(i - 1);
            assertTrue(
                    order.holder().equals(before.holder()) || gapMillis >= LEASE_MILLIS,
                    "two holders within " + gapMillis + " ms");
        }
    }

    private static Set<Long> knownVersions(Router router, String model) {
        FleetSnapshot snapshot = router.state().snapshot();
        return snapshot.view().upstreams().stream()
                .map(upstream -> router.state().weightsVersion(snapshot, upstream, model))
                .collect(Collectors.toSet());
    }

    private int upstreamCount() {
        return routers.get(0).state().snapshot().view().upstreams().size();
    }

    private Router holder() {
        return routers.stream()
                .filter(router -> router.leadership().isHeld())
                .findFirst()
                .orElseThrow();
    }

    private void assertTokensBelongToOneHolder() {
        Map<Long, String> holders = new HashMap<>();
        for (WeightsOrder order : fleet.accepted()) {
            String known = holders.putIfAbsent(order.fencingToken(), order.holder());
            assertTrue(known == null || known.equals(order.holder()), "two holders with one fencing token");
        }
    }

    private Router router(int number) {
        FakeRouterControl routerControl = new FakeRouterControl(control);
        MetricRegistry metrics = new MetricRegistry();
        FleetState state = new FleetState();
        Random random = new Random(number);
        StorePoller poller =
                new StorePoller(storeFrom(number), state, routerControl, routerControl, random, POLL_MILLIS, metrics);
        String name = "vm-" + number;
        RolloutLeadership leadership =
                new RolloutLeadership(store, routerControl, routerControl, name, LEASE_MILLIS, true);
        WeightsRollout rollout = new WeightsRollout(
                state,
                poller,
                leadership,
                new WeightsRequestTimesWriter(store, routerControl, routerControl),
                enginesFrom(number),
                routerControl,
                routerControl,
                random,
                name,
                () -> ANNOUNCE_MILLIS,
                metrics);
        poller.start();
        rollout.start();
        return new Router(routerControl, leadership, rollout, state);
    }
}
