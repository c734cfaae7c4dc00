package io.agatelane.core.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.limits.SimulatedRouters.Counts;
import io.agatelane.core.limits.command.AccountRateLimiter;
import io.agatelane.core.limits.command.AccountRateLimiter.LimitedRequest;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Rate limits of an account over 7 and 85 routers. */
public class AccountRateLimiterTest {
    private static final long LARGE_TOKENS = 17_020;
    private static final AccountLimit.Unit TOKENS = AccountLimit.Unit.TOKENS;
    private static final AccountLimit.Unit REQUESTS = AccountLimit.Unit.REQUESTS;
    // Until the first reports arrive, each router has only an equal part of the limit.
    private static final long START_MILLIS = 2_000;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {7, limit(800_000, 1_600_000), 1L},
            {85, limit(800_000, 1_600_000), 2L},
            {85, limit(800_000, 800_000), 3L},
            {7, limit(40_000, 80_000), 4L},
            {85, limit(40_000, 80_000), 5L}
        };
    }

    private static AccountLimit limit(double rate, double burst) {
        return new AccountLimit(TOKENS, rate, burst, 1_000);
    }

    // Guards against limits that are enforced too strictly or not at all, against large requests that are refused more
    // often than small ones, and against refusals without a time to retry.
    @Test(dataProvider = "fleets")
    public void steadyDemandGetsItsRate(int count, AccountLimit limit, long seed) {
        SimulatedRouters routers = new SimulatedRouters(count, limit, LARGE_TOKENS, seed);
        assertSteadyRate(routers, limit);
        Counts counts = routers.counts;
        double large = counts.largeAdmitted / (double) counts.large;
        double small = counts.smallAdmitted / (double) counts.small;
        assertTrue(large >= 0.9 * small, "large " + large + ", small " + small);
        assertTrue(counts.minRetryMillis > 0);
    }

    // Guards against equal parts for all routers where only some have callers.
    @Test(dataProvider = "fleets")
    public void callersAtThreeRoutersGetTheRate(int count, AccountLimit limit, long seed) {
        SimulatedRouters routers = new SimulatedRouters(count, limit, LARGE_TOKENS, seed);
        routers.routing = number -> Math.floorMod(number, 3);
        assertSteadyRate(routers, limit);
    }

    private static void assertSteadyRate(SimulatedRouters routers, AccountLimit limit) {
        routers.run(10_000, 3 * limit.ratePerSecond());
        routers.counts = new Counts();
        routers.run(100_000, 3 * limit.ratePerSecond());
        assertServed(routers, 100 * limit.ratePerSecond(), 0.97);
        assertWithinBound(routers, limit);
    }

    // Guards against refusals of an account that keeps to its limit.
    @Test(dataProvider = "fleets")
    public void demandBelowTheLimitIsAdmitted(int count, AccountLimit limit, long seed) {
        SimulatedRouters routers = new SimulatedRouters(count, limit, LARGE_TOKENS, seed);
        routers.run(START_MILLIS, 0.001 * limit.ratePerSecond());
        routers.counts = new Counts();
        routers.run(8_000, 0.1 * limit.ratePerSecond());
        routers.run(60_000, 0.7 * limit.ratePerSecond());
        assertEquals(routers.counts.refusedWithinLimit, 0);
    }

    // Guards against routers that take callers which come from other routers for a jump of the demand.
    @Test(dataProvider = "fleets")
    public void callersThatMoveBelowTheLimitAreAdmitted(int count, AccountLimit limit, long seed) {
        SimulatedRouters routers = new SimulatedRouters(count, limit, LARGE_TOKENS, seed);
        routers.run(START_MILLIS, 0.001 * limit.ratePerSecond());
        routers.counts = new Counts();
        routers.run(8_000, 0.4 * limit.ratePerSecond());
        for (int i = 0; i < 4; i++) {
            int first = i % 2 * (count - 3);
            routers.routing = number -> first + Math.floorMod(number, 3);
            routers.run(8_000, 0.4 * limit.ratePerSecond());
        }
        assertEquals(routers.counts.refusedWithinLimit, 0);
    }

    // Guards against overuse while the routers do not know yet that the demand has jumped at all of them.
    @Test(dataProvider = "fleets")
    public void jumpOfTheDemandStaysWithinTheBound(int count, AccountLimit limit, long seed) {
        for (double usual : new double[] {0.3, 0.6, 0.9}) {
            SimulatedRouters routers = new SimulatedRouters(count, limit, LARGE_TOKENS, seed);
            routers.run(15_000, usual * limit.ratePerSecond());
            routers.run(10_000, 6 * usual * limit.ratePerSecond());
            assertWithinBound(routers, limit);
        }
    }

    // Guards against shares that stay at routers whose callers have gone elsewhere.
    @Test(dataProvider = "fleets")
    public void demandThatMovesIsServedAfterTwoSeconds(int count, AccountLimit limit, long seed) {
        SimulatedRouters routers = new SimulatedRouters(count, limit, LARGE_TOKENS, seed);
        int half = count / 2;
        double units = 0;
        int moves = 20;
        for (int i = 0; i < moves; i++) {
            int first = i % 2 * half;
            routers.routing = number -> first + Math.floorMod(number, half);
            routers.counts = new Counts();
            routers.run(2_000, 3 * limit.ratePerSecond());
            // What was admitted too early reduces what may follow.
            units += Math.max(0, routers.counts.units - 2 * limit.ratePerSecond());
            routers.counts = new Counts();
            routers.run(4_000, 3 * limit.ratePerSecond());
            units += routers.counts.units;
        }
        assertServed(units, moves * 4 * limit.ratePerSecond(), 0.9);
        assertWithinBound(routers, limit);
    }

    // Guards against routers without contact that each admit the whole limit, while the others go on as before; and
    // against a fleet that does not recover when the contact is back.
    @Test(dataProvider = "fleets")
    public void cutOffRoutersStayWithinTheBound(int count, AccountLimit limit, long seed) {
        for (double demand : new double[] {0.5, 3}) {
            SimulatedRouters routers = new SimulatedRouters(count, limit, LARGE_TOKENS, seed);
            routers.run(15_000, demand * limit.ratePerSecond());
            routers.cutOff(count / 3);
            routers.run(15_000, 3 * limit.ratePerSecond());
            routers.reconnect();
            routers.run(10_000, 3 * limit.ratePerSecond());
            routers.counts = new Counts();
            routers.run(100_000, 3 * limit.ratePerSecond());
            assertServed(routers, 100 * limit.ratePerSecond(), 0.97);
            assertWithinBound(routers, limit);
        }
    }

    // Guards against the part of a stopped router that nobody may use: at most that part is missing.
    @Test(dataProvider = "fleets")
    public void stoppedRouterTakesAtMostItsPart(int count, AccountLimit limit, long seed) {
        SimulatedRouters routers = new SimulatedRouters(count, limit, LARGE_TOKENS, seed);
        routers.run(10_000, 3 * limit.ratePerSecond());
        routers.cutOff(1);
        routers.routing = number -> 1 + Math.floorMod(number, count - 1);
        routers.run(4_000, 3 * limit.ratePerSecond());
        routers.counts = new Counts();
        routers.run(100_000, 3 * limit.ratePerSecond());
        assertServed(routers, 100 * limit.ratePerSecond() * (count - 1) / count, 0.97);
        assertWithinBound(routers, limit);
    }

    // Guards against full buckets in new processes, and against each of them taking itself for the only one.
    @Test(dataProvider = "fleets")
    public void restartOfAllRoutersStaysWithinTheBound(int count, AccountLimit limit, long seed) {
        SimulatedRouters routers = new SimulatedRouters(count, limit, LARGE_TOKENS, seed);
        for (int i = 0; i < 4; i++) {
            routers.run(6_000, 3 * limit.ratePerSecond());
            routers.restart(count);
        }
        routers.counts = new Counts();
        routers.run(100_000, 3 * limit.ratePerSecond());
        assertServed(routers, 100 * limit.ratePerSecond(), 0.97);
        assertWithinBound(routers, limit);
    }

    // Guards against a limit that takes effect only after what was saved under the former one has been used, and
    // against one that stays low after it was raised.
    @Test(dataProvider = "fleets")
    public void changedLimitIsInForceAtOnce(int count, AccountLimit limit, long seed) {
        SimulatedRouters routers = new SimulatedRouters(count, limit, LARGE_TOKENS, seed);
        routers.run(15_000, 0.5 * limit.ratePerSecond());
        AccountLimit lower = limit(limit.ratePerSecond() / 4, limit.burst() / 4);
        routers.limit = lower;
        routers.run(SimulatedRouters.MARGIN.windowMillis(), limit.ratePerSecond());
        routers.forgetAdmitted();
        routers.run(20_000, limit.ratePerSecond());
        assertWithinBound(routers, lower);
        routers.limit = limit;
        routers.run(2_000, 3 * limit.ratePerSecond());
        routers.counts = new Counts();
        routers.run(100_000, 3 * limit.ratePerSecond());
        assertServed(routers, 100 * limit.ratePerSecond(), 0.97);
    }

    @DataProvider
    public Object[][] extremeLimits() {
        return new Object[][] {
            {7, new AccountLimit(REQUESTS, 2.5, 5, 0), 1L, 7.5, 0.97},
            {85, new AccountLimit(REQUESTS, 2.5, 5, 0), 2L, 7.5, 0.97},
            {85, new AccountLimit(REQUESTS, 0.25, 0, 0), 3L, 1.0, 0.9},
            {85, new AccountLimit(REQUESTS, 40, 0.5, 0), 4L, 120.0, 0.97}
        };
    }

    // Guards against rates that are rounded to 0 in reports, and against a large slack that becomes a burst.
    @Test(dataProvider = "extremeLimits")
    public void fractionalLimitsAreKept(int count, AccountLimit limit, long seed, double demand, double goal) {
        SimulatedRouters routers = new SimulatedRouters(count, limit, 1, seed);
        routers.run(10_000, demand);
        routers.counts = new Counts();
        routers.run(400_000, demand);
        assertServed(routers, 400 * limit.ratePerSecond(), goal);
        assertServed(400 * limit.ratePerSecond(), routers.counts.units, 0.9);
    }

    // Guards against arithmetic that overflows or becomes undefined.
    @Test
    public void hugeLimitRefusesNothing() {
        AccountLimit huge = new AccountLimit(TOKENS, Double.MAX_VALUE, Double.MAX_VALUE, Long.MAX_VALUE);
        SimulatedRouters routers = new SimulatedRouters(7, huge, LARGE_TOKENS, 1);
        routers.run(5_000, 1_000_000);
        assertEquals(routers.counts.refused, 0);
    }

    // Guards against requests that evade a limit because they do not state their tokens.
    @Test
    public void requestWithoutTokenCountHasTheDefaultSize() {
        AccountLimit limit = new AccountLimit(TOKENS, 100, 1_000, 700);
        assertEquals(limit.units(OptionalLong.empty()), 700);
        assertEquals(limit.units(OptionalLong.of(5)), 5);
        assertEquals(new AccountLimit(REQUESTS, 100, 1_000, 700).units(OptionalLong.of(5)), 1);
    }

    // Guards against units that are used up by requests which did not run, and against a process that has paused and
    // takes the time for unused.
    @Test
    public void unitsOfRequestsThatDidNotRunAreReturned() {
        AccountRateLimiter limiter = new AccountRateLimiter(new OnlyRouter(), new Random(1), 0);
        AccountLimit limit = new AccountLimit(REQUESTS, 1, 2, 0);
        limiter.reports(Map.of(1L, limit), 1_000);
        limiter.reports(Map.of(1L, limit), 2_000);
        for (int i = 0; i < 10; i++) {
            LimitedRequest request = limiter.arrive(1, limit, 1, 2_000);
            assertTrue(limiter.decide(request, 2_000).admitted());
            limiter.recordSent(request, 2_000);
            limiter.recordNotRun(request, 2_000);
        }
        for (int i = 0; i < 2; i++) {
            LimitedRequest request = limiter.arrive(1, limit, 1, 2_000);
            assertTrue(limiter.decide(request, 2_000).admitted());
            limiter.recordSent(request, 2_000);
        }
        assertFalse(limiter.decide(limiter.arrive(1, limit, 1, 2_000), 2_000).admitted());
        RateDecision afterPause = limiter.decide(limiter.arrive(1, limit, 1, 60_000), 60_000);
        assertTrue(afterPause.level() <= 0, afterPause.toString());
    }

    // Guards against requests within the limit that are refused for seconds because two relays report the same routers
    // while one takes over from the other.
    @Test
    public void routersThatTwoRelaysReportCountOnce() {
        int routers = 40;
        AccountLimit limit = new AccountLimit(REQUESTS, 1_000, 1_000, 0);
        AccountRateLimiter.Fleet fleet = new AccountRateLimiter.Fleet() {
            @Override
            public Map<Long, AccountDemand> others(long nowMillis) {
                return Map.of(
                        AccountDemand.ROUTERS,
                        new AccountDemand(AccountDemand.ROUTERS, 2 * (routers - 1), 0),
                        1L,
                        AccountDemand.ofUnits(1, 2 * 900, 2 * 900));
            }

            @Override
            public int registeredRouters() {
                return routers;
            }

            @Override
            public LimitMargin margin() {
                return new LimitMargin(8_000, 0.1, 0);
            }
        };
        AccountRateLimiter limiter = new AccountRateLimiter(fleet, new Random(1), 0);
        for (long now = 0; now <= 10_000; now += 100) {
            limiter.reports(Map.of(1L, limit), now);
            LimitedRequest request = limiter.arrive(1, limit, 1, now);
            boolean admitted = limiter.decide(request, now).admitted();
            assertTrue(admitted || now < 2_000, "at " + now);
            if (admitted) {
                limiter.recordSent(request, now);
            }
        }
    }

    // Guards against time that is counted twice when threads take the lock in another order than they read the time.
    @Test
    public void timeIsCountedOnce() {
        AccountRateLimiter limiter = new AccountRateLimiter(new OnlyRouter(), new Random(1), 0);
        AccountLimit limit = new AccountLimit(REQUESTS, 1, 10, 0);
        for (int i = 0; i < 20; i++) {
            limiter.arrive(1, limit, 1, 1_000);
            limiter.arrive(1, limit, 1, 0);
        }
        assertEquals(limiter.decide(limiter.arrive(1, limit, 1, 1_000), 1_000).level(), 1, 0.001);
    }

    // Guards against memory that grows with the accounts that were ever used.
    @Test
    public void idleAccountsAreForgotten() {
        AccountRateLimiter limiter = new AccountRateLimiter(new OnlyRouter(), new Random(1), 0);
        AccountLimit limit = new AccountLimit(REQUESTS, 1, 2, 0);
        Map<Long, AccountLimit> limits = Map.of(1L, limit, 2L, limit);
        limiter.recordSent(limiter.arrive(1, limit, 1, 0), 0);
        limiter.recordSent(limiter.arrive(3, limit, 1, 0), 0);
        assertEquals(limiter.reports(limits, 0).size(), 2);
        for (long now = 0; now < 60_000; now += 200) {
            limiter.reports(limits, now);
        }
        assertEquals(limiter.size(), 0);
        assertEquals(limiter.reports(Map.of(), 60_000).size(), 0);
    }

    private static final class OnlyRouter implements AccountRateLimiter.Fleet {
        @Override
        public Map<Long, AccountDemand> others(long nowMillis) {
            return Map.of();
        }

        @Override
        public int registeredRouters() {
            return 1;
        }

        @Override
        public LimitMargin margin() {
            return new LimitMargin(8_000, 0, 0);
        }
    }

    private static void assertServed(SimulatedRouters routers, double allowed, double goal) {
        assertServed(routers.counts.units, allowed, goal);
    }

    private static void assertServed(double units, double allowed, double goal) {
        Reporter.log("served " + units / allowed + ", goal " + goal, true);
        assertTrue(units >= goal * allowed, "served " + units / allowed);
    }

    private static void assertWithinBound(SimulatedRouters routers, AccountLimit limit) {
        double part = routers.largestWindow() / SimulatedRouters.bound(limit);
        Reporter.log("largest window " + part + " of the bound, " + limit, true);
        assertTrue(part <= 1, "largest window " + part + " of the bound");
    }
}
