package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.node.api.WeightsOrder;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import io.agatelane.node.fakes.FakeRouterControl;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class WeightsRolloutTest {
    private static final int ENGINES = 8;
    private static final int ROUTERS = 3;
    private static final long LEASE_MILLIS = 3_000;
    private static final long POLL_MILLIS = 700;
    private static final long ANNOUNCE_MILLIS = 350;
    // The shorter of the bounds of today's deployments for all engines of a service.
    private static final long ALLOWED_MILLIS = 17_000;

    private FakeControl control;
    private FakeKeyValueStore store;
    private FakeFleet fleet;
    private List<Router> routers;

    private record Router(FakeRouterControl control, RolloutDuty duty, WeightsRollout rollout, FleetState state) {}

    @BeforeMethod
    public void start() {
        control = new FakeControl();
        store = new FakeKeyValueStore(control);
        fleet = new FakeFleet(control, store, ENGINES);
        routers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(router(i));
        }
        control.advance(2_000);
    }

    // Guards against engines that keep replaced weights, and against more loads at once than the engines bear.
    @Test
    public void allEnginesGetTheNewestWeights() {
        fleet.name(2);
        control.advance(ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
        assertTrue(fleet.mostLoading() <= 2, "loads at once: " + fleet.mostLoading());
        assertEquals(fleet.accepted().size(), ENGINES);
    }

    // Guards against orders for a version that was replaced before its turn came.
    @Test
    public void versionsInARowEndWithTheNewest() {
        fleet.name(2);
        control.advance(3_000);
        fleet.name(3);
        control.advance(3_000);
        fleet.name(4);
        control.advance(ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(), 4);
        assertTrue(
                fleet.accepted().size() < 2 * ENGINES,
                "loads: " + fleet.accepted().size());
    }

    // Guards against a roll-out that ends with its holder, and against a new holder that starts too early.
    @Test
    public void anotherRouterTakesOver() {
        fleet.name(2);
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

    // Guards against a holder that is suspended and goes on with its orders after another one has taken over.
    @Test
    public void suspendedHolderGivesNoFurtherOrders() {
        fleet.name(2);
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

    // Guards against an unanswered order that is given again and loads the weights twice when both are carried out.
    @Test
    public void unansweredOrdersAreNotCarriedOutTwice() {
        fleet.loseAnswers(2_000);
        fleet.name(2);
        control.advance(6_000);
        fleet.loseAnswers(-1);
        control.advance(2 * ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
        assertEquals(fleet.accepted().size(), ENGINES);
    }

    // Guards against an engine that restarts with old weights after the roll-out and is forgotten.
    @Test
    public void restartedEngineIsBroughtUp() {
        fleet.name(2);
        control.advance(ALLOWED_MILLIS);
        fleet.restart("e3", 1);
        control.advance(6_000);
        assertEquals(fleet.oldestVersion(), 2);
    }

    // Guards against a write of the duty whose answer was lost and that leaves the roll-out without a holder.
    @Test
    public void lostAnswersOfTheStoreDelayOnly() {
        store.loseReplies(6);
        fleet.name(2);
        control.advance(2 * ALLOWED_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
        assertTokensBelongToOneHolder();
    }

    // Guards against orders without a lease while the store is away.
    @Test
    public void outageStopsOrdersUntilTheStoreIsBack() {
        fleet.name(2);
        control.advance(2_500);
        fleet.setStoreOut(true);
        control.advance(LEASE_MILLIS + 200);
        int orders = fleet.accepted().size();
        control.advance(10_000);
        assertEquals(fleet.accepted().size(), orders);
        fleet.setStoreOut(false);
        control.advance(ALLOWED_MILLIS + 2 * LEASE_MILLIS);
        assertEquals(fleet.oldestVersion(), 2);
    }

    // Guards against upstreams that are given up because their entries lapsed while the store was away.
    @Test
    public void lapsedEntriesHaveTimeToReturn() {
        fleet.setStoreOut(true);
        control.advance(3_000);
        fleet.setListed("e1", false);
        fleet.setStoreOut(false);
        control.advance(1_000);
        assertEquals(known(), ENGINES);
        control.advance(4_000);
        assertEquals(known(), ENGINES - 1);
    }

    private int known() {
        return routers.get(0).state().knowledge().view().upstreams().size();
    }

    private Router holder() {
        return routers.stream()
                .filter(router -> router.duty().isHeld())
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
        FakeRouterControl own = new FakeRouterControl(control);
        MetricRegistry metrics = new MetricRegistry();
        FleetState state = new FleetState("vm-" + number);
        Random random = new Random(number);
        FleetFollower follower = new FleetFollower(fleet, state, own, own, random, POLL_MILLIS, metrics);
        String name = "vm-" + number;
        RolloutDuty duty = new RolloutDuty(store, own, own, name, LEASE_MILLIS, true);
        WeightsRollout rollout = new WeightsRollout(
                state, follower, duty, fleet, own, own, random, name, () -> ANNOUNCE_MILLIS, metrics);
        follower.start();
        rollout.start();
        return new Router(own, duty, rollout, state);
    }
}
