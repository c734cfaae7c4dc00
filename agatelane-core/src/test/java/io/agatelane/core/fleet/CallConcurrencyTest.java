package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.command.CallConcurrency;
import io.agatelane.core.fleet.command.CallConcurrency.Action;
import io.agatelane.core.fleet.command.CallConcurrency.Call;
import io.agatelane.core.fleet.command.CallConcurrency.View;
import io.agatelane.core.fleet.command.DecayedCallDurations;
import io.agatelane.core.fleet.query.CallShares;
import io.agatelane.core.fleet.query.Candidate;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Concurrency limits of plain services that many routers share. Goals are those of docs/hard-load.md. */
public class CallConcurrencyTest {
    private static final double MAX_REFUSED = 0.01;
    private static final double MIN_IN_USE = 0.9;
    private static final double MIN_SERVED_OF_OTHERS = 0.9;
    // Without a limit a third of the calls would be refused at 1.5 times the capacity.
    private static final double MAX_REFUSED_WHILE_CUT_OFF = 0.05;
    private static final double OVERLOAD = 1.5 * CallSimulation.CAPACITY_PER_MILLI;
    private static final long SETTLING_MILLIS = 3_000;
    private static final FleetUpstream UPSTREAM =
            new FleetUpstream("u", 1, "calls", "10.0.0.1:80", "z", 6, false, Map.of());

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{7, 1L}, {7, 2L}, {7, 3L}, {85, 1L}, {85, 2L}, {85, 3L}};
    }

    // Guards against routers that together send more than the slots, and against slots that stay free meanwhile.
    @Test(dataProvider = "fleets")
    public void overloadKeepsSlotsBusyWithoutRefusals(int routers, long seed) {
        CallSimulation simulation = overloaded(routers, seed);
        simulation.run(10_000, router -> OVERLOAD / routers);
        assertGoals(simulation);
    }

    // Guards against parts that stay unused at routers without callers.
    @Test(dataProvider = "fleets")
    public void partsOfIdleRoutersAreUsedByOthers(int routers, long seed) {
        CallSimulation simulation = overloaded(routers, seed);
        simulation.run(SETTLING_MILLIS, router -> router < 3 ? OVERLOAD / 3 : 0);
        simulation.run(8_000, router -> router < 3 ? OVERLOAD / 3 : 0);
        assertGoals(simulation);
    }

    // Guards against cut-off routers that take all slots for themselves, since they see no other demand.
    @Test(dataProvider = "fleets")
    public void cutOffRoutersUseTheirPart(int routers, long seed) {
        CallSimulation simulation = overloaded(routers, seed);
        for (int i = 0; i < routers / 3; i++) {
            simulation.groupOf[i] = 1 + i;
        }
        simulation.run(SETTLING_MILLIS, router -> OVERLOAD / routers);
        simulation.run(8_000, router -> OVERLOAD / routers);
        assertTrue(simulation.slotsInUse() >= MIN_IN_USE, "in use " + simulation.slotsInUse());
        assertTrue(
                simulation.refusedByUpstreams() <= MAX_REFUSED_WHILE_CUT_OFF,
                "refused " + simulation.refusedByUpstreams());
        Arrays.fill(simulation.groupOf, 0);
        simulation.run(SETTLING_MILLIS, router -> OVERLOAD / routers);
        simulation.run(8_000, router -> OVERLOAD / routers);
        assertGoals(simulation);
    }

    // Guards against parts that stay at their first guess after all routers have lost what they had learned.
    @Test(dataProvider = "fleets")
    public void restartedRoutersReachTheGoalsAgain(int routers, long seed) {
        CallSimulation simulation = overloaded(routers, seed);
        for (CallSimulation.Router router : simulation.all) {
            router.restart();
        }
        simulation.run(SETTLING_MILLIS, router -> OVERLOAD / routers);
        simulation.run(8_000, router -> OVERLOAD / routers);
        assertGoals(simulation);
    }

    // Guards against capacity that is kept for registered routers which have stopped.
    @Test(dataProvider = "fleets")
    public void partsOfStoppedRoutersAreUsedByOthers(int routers, long seed) {
        CallSimulation simulation = overloaded(routers, seed);
        int stopped = routers / 2;
        for (int i = 0; i < stopped; i++) {
            simulation.groupOf[i] = 1;
        }
        simulation.run(SETTLING_MILLIS, router -> router < stopped ? 0 : OVERLOAD / (routers - stopped));
        simulation.run(8_000, router -> router < stopped ? 0 : OVERLOAD / (routers - stopped));
        assertGoals(simulation);
    }

    // Guards against one account that takes the slots which the others usually use.
    @Test(dataProvider = "fleets")
    public void accountAtTenTimesItsLoadDoesNotCrowdOutOthers(int routers, long seed) {
        CallSimulation simulation = new CallSimulation(routers, seed);
        double usual = 0.8 * CallSimulation.CAPACITY_PER_MILLI;
        double all = usual * (CallSimulation.ACCOUNTS + 9) / CallSimulation.ACCOUNTS;
        simulation.run(SETTLING_MILLIS, router -> usual / routers);
        simulation.firstAccountShare = 10.0 / (CallSimulation.ACCOUNTS + 9);
        simulation.run(SETTLING_MILLIS, router -> all / routers);
        simulation.run(10_000, router -> all / routers);
        assertTrue(
                simulation.servedShareOfOthers() >= MIN_SERVED_OF_OTHERS,
                "others were served " + simulation.servedShareOfOthers());
        assertGoals(simulation);
    }

    // Guards against a limit on services with free slots: the choice of the upstream must stay the chooser's.
    @Test
    public void freeSlotsLeaveCallsAlone() {
        for (int routers : new int[] {1, 7, 85}) {
            CallConcurrency<String> calls = calls();
            for (int i = 0; i < 100; i++) {
                View view = new View(List.of(candidate(UPSTREAM, 5)), 3, routers, routers);
                assertEquals(calls.offer(call("a" + i, 2, 0), view, i * 20L).action(), Action.SEND_FREELY);
                calls.recordReport(UPSTREAM, 5, 0, i * 20L + 10);
            }
        }
    }

    // Guards against a limit on upstreams that run any number of calls: they neither report loads nor refuse.
    @Test
    public void upstreamsWithoutReportsAreNotLimited() {
        CallConcurrency<String> calls = new CallConcurrency<>(new DecayedCallDurations(20), new SplittableRandom(1));
        View view = new View(List.of(candidate(UPSTREAM, 60)), 3, 1, 1);
        for (int i = 0; i < 100; i++) {
            assertEquals(calls.offer(call("a" + i, 2, i), view, i).action(), Action.SEND_FREELY);
        }
    }

    // Guards against a first call that waits because its router has had no demand yet.
    @Test
    public void firstCallOfIdleRouterIsNotDelayed() {
        CallConcurrency<String> calls = calls();
        View view = new View(List.of(candidate(UPSTREAM, 8)), 40, 85, 85);
        assertEquals(calls.offer(call("first", 2, 0), view, 0).action(), Action.SEND);
    }

    // Guards against a queue in arrival order, in which urgent calls and those with little time left come too late.
    @Test
    public void urgentCallsAndThoseWithLittleTimeLeftGoFirst() {
        CallConcurrency<String> calls = calls();
        View view = new View(List.of(candidate(UPSTREAM, 8)), 3, 2, 2);
        while (calls.offer(call("early", 2, 0), view, 0).action() == Action.SEND) {
            calls.recordSent();
        }
        calls.remove("early");
        calls.offer(new Call<>("relaxed", 2, 900, 2_000, false), view, 0);
        calls.offer(new Call<>("pressed", 2, 500, 2_000, false), view, 0);
        calls.offer(new Call<>("urgent", 0, 900, 2_000, false), view, 0);
        List<String> order = new ArrayList<>();
        for (long now = 0; now < 400; now++) {
            calls.next(view, now).ifPresent(released -> order.add(released.request()));
        }
        assertEquals(order, List.of("urgent", "pressed", "relaxed"));
    }

    // Guards against calls that take a slot although their caller no longer waits for the response.
    @Test
    public void callsWithoutTimeAreRefused() {
        CallConcurrency<String> calls = calls();
        View view = new View(List.of(candidate(UPSTREAM, 8)), 40, 85, 85);
        calls.offer(call("first", 2, 0), view, 0);
        CallConcurrency.Decision refused = calls.offer(call("second", 2, 0), view, 0);
        assertEquals(refused.action(), Action.REFUSE);
        assertTrue(refused.retryAfterMillis() > 0, "the caller must not come back before a slot is free");
        calls.offer(new Call<>("third", 2, 5_000, 5_000, false), view, 0);
        calls.offer(new Call<>("urgent", 0, 9_000, 9_000, false), view, 0);
        CallConcurrency.Released<String> late = calls.next(view, 4_990).orElseThrow();
        assertEquals(late.request(), "third");
        assertEquals(late.decision().action(), Action.REFUSE);
    }

    // Guards against calls that wait for their deadline when no upstream is left.
    @Test
    public void callsAreReleasedWithoutUpstreams() {
        CallConcurrency<String> calls = calls();
        View view = new View(List.of(candidate(UPSTREAM, 8)), 40, 85, 85);
        calls.offer(call("first", 2, 0), view, 0);
        calls.offer(new Call<>("second", 2, 5_000, 5_000, false), view, 0);
        View none = new View(List.of(), 40, 85, 85);
        assertEquals(calls.next(none, 10).orElseThrow().decision().action(), Action.SEND_FREELY);
    }

    // Guards against turns for an upstream that accepts no connection while the others have slots.
    @Test
    public void failingUpstreamGetsNoTurns() {
        CallConcurrency<String> calls = calls();
        FleetUpstream failing = new FleetUpstream("v", 1, "calls", "10.0.0.2:80", "z", 6, false, Map.of());
        View view = new View(List.of(candidate(UPSTREAM, 8), candidate(failing, 8)), 3, 2, 2);
        calls.recordReport(failing, 5, 0, 0);
        calls.recordFailure(failing, 0);
        calls.recordFailure(failing, 0);
        for (int i = 0; i < 20; i++) {
            calls.offer(call("a" + i, 2, i * 40L), view, i * 40L)
                    .upstream()
                    .ifPresent(chosen -> assertEquals(chosen.upstream(), UPSTREAM));
        }
    }

    // Guards against exceptions and parts without bounds when reports are absurd.
    @Test
    public void partsStayWithinTheSlots() {
        for (double demand : new double[] {-5, 0, 1e-9, 3, 1e12}) {
            for (int routers : new int[] {-1, 0, 1, 85}) {
                double part = CallShares.part(18, demand, -demand, routers, routers);
                assertTrue(part >= 0 && part <= 18, "part " + part + " of demand " + demand);
            }
        }
        assertEquals(CallShares.part(18, 6, 12, 85, 85), 6, 1e-9);
        assertEquals(CallShares.part(18, 6, 0, 1, 9), 2, 1e-9);
    }

    private static CallSimulation overloaded(int routers, long seed) {
        CallSimulation simulation = new CallSimulation(routers, seed);
        simulation.run(2_000, router -> OVERLOAD / 3 / routers);
        simulation.run(SETTLING_MILLIS, router -> OVERLOAD / routers);
        return simulation;
    }

    private static void assertGoals(CallSimulation simulation) {
        assertTrue(simulation.slotsInUse() >= MIN_IN_USE, "in use " + simulation.slotsInUse());
        assertTrue(simulation.refusedByUpstreams() <= MAX_REFUSED, "refused " + simulation.refusedByUpstreams());
    }

    private static CallConcurrency<String> calls() {
        CallConcurrency<String> calls = new CallConcurrency<>(new DecayedCallDurations(20), new SplittableRandom(1));
        calls.recordReport(UPSTREAM, 5, 0, 0);
        return calls;
    }

    private static Call<String> call(String name, int priority, long nowMillis) {
        return new Call<>(name, priority, nowMillis + 180, nowMillis + 850, false);
    }

    private static Candidate candidate(FleetUpstream upstream, double requests) {
        return new Candidate(upstream, new UpstreamEstimate(requests, PrefillBacklog.EMPTY, 100, 0, 0, 0), 0);
    }
}
