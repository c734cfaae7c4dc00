package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.ServiceDemand.Key;
import io.agatelane.core.fleet.command.EngineShares;
import io.agatelane.core.fleet.query.FairShares;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Shares of scarce capacity between accounts and kinds of requests. Goals are those of docs/hard-load.md. */
public class FairSharesTest {
    private static final double MIN_SERVED = 0.9;
    private static final double MIN_IN_USE = 0.95;
    private static final long SETTLING_MILLIS = 3_000;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{7, 1L}, {7, 2L}, {7, 3L}, {85, 1L}, {85, 2L}, {85, 3L}};
    }

    // Guards against one account that takes the capacity which the others usually use.
    @Test(dataProvider = "fleets")
    public void accountAtTenTimesItsLoadDoesNotCrowdOutOthers(int routers, long seed) {
        ShareSimulation simulation = started(routers, seed);
        simulation.run(SETTLING_MILLIS, loads(0.8, 10));
        simulation.run(10_000, loads(0.8, 10));
        assertOthersServed(simulation);
        assertTrue(simulation.workDone >= MIN_IN_USE, "in use " + simulation.workDone);
    }

    // Guards against callers that get more by repeating refused requests at once.
    @Test(dataProvider = "fleets")
    public void repeatedRequestsDoNotCrowdOutOthers(int routers, long seed) {
        ShareSimulation simulation = started(routers, seed);
        simulation.repeats = 5;
        simulation.run(SETTLING_MILLIS, loads(0.8, 10));
        simulation.run(10_000, loads(0.8, 10));
        assertOthersServed(simulation);
    }

    // Guards against a burst in which all kinds are refused alike, and against one kind that is not served at all.
    @Test(dataProvider = "fleets")
    public void urgentKindIsServedFirstAndTheOtherNotStarved(int routers, long seed) {
        ShareSimulation simulation = started(routers, seed);
        simulation.run(SETTLING_MILLIS, loads(1.7, 1));
        simulation.run(10_000, loads(1.7, 1));
        assertTrue(
                simulation.servedShare(0) > simulation.servedShare(1),
                "urgent " + simulation.servedShare(0) + ", other " + simulation.servedShare(1));
        assertTrue(simulation.servedShare(1) >= 0.1, "other kind " + simulation.servedShare(1));
        assertTrue(simulation.workDone >= MIN_IN_USE, "in use " + simulation.workDone);
    }

    // Guards against refusals by shares while the engines have room, with few and with many routers.
    @Test(dataProvider = "fleets")
    public void everythingIsAdmittedWithFreeCapacity(int routers, long seed) {
        ShareSimulation simulation = started(routers, seed);
        assertEquals(simulation.servedShare(0), 1.0);
        assertEquals(simulation.servedShare(1), 1.0);
    }

    // Guards against shares that follow the size or the number of requests instead of the accounts.
    @Test
    public void accountsShareEquallyAndUnusedSharesGoToOthers() {
        Map<Key, Double> demand = new HashMap<>();
        demand.put(key(1, 0), 10.0);
        demand.put(key(2, 0), 200.0);
        demand.put(key(3, 0), 60.0);
        demand.put(key(3, 2), 100.0);
        Map<Key, Double> fractions = FairShares.fractions(130, demand);
        assertEquals(fractions.get(key(1, 0)), 1.0, 1e-9);
        assertEquals(fractions.get(key(2, 0)), 0.3, 1e-9);
        assertEquals(fractions.get(key(3, 0)), 0.9, 1e-9);
        assertEquals(fractions.get(key(3, 2)), 0.06, 1e-9);
    }

    // Guards against exceptions and fractions beyond 0 to 1 when reports are absurd.
    @Test
    public void absurdDemandsGiveFractions() {
        Map<Key, Double> demand = new HashMap<>();
        demand.put(key(0, 0), Double.NaN);
        demand.put(key(1, 0), -5.0);
        demand.put(key(2, 0), 1e300);
        demand.put(key(3, 0), 0.0);
        for (double capacity : new double[] {-1, 0, 1, 1e12}) {
            FairShares.fractions(capacity, demand)
                    .forEach((key, fraction) -> assertTrue(fraction >= 0 && fraction <= 1, key + " " + fraction));
        }
    }

    // Guards against digests that grow with the number of accounts.
    @Test
    public void reportsAreBoundedAndKeepTheSum() {
        EngineShares shares = new EngineShares(1, new SplittableRandom(1));
        for (int account = 1; account <= 200; account++) {
            shares.offer(shares.key(account, 0), account, Map.of(), 100, 10, 0);
        }
        List<ServiceDemand> reported = shares.demands(8, 100, 10, 0);
        assertEquals(reported.size(), 9);
        assertEquals(
                reported.stream().mapToInt(ServiceDemand::demandMillisPerSecond).sum(), 200 * 201 / 2);
    }

    private static ShareSimulation started(int routers, long seed) {
        ShareSimulation simulation = new ShareSimulation(routers, seed);
        simulation.run(SETTLING_MILLIS, loads(0.6, 1));
        return simulation;
    }

    // Equal loads, except for the first account.
    private static double[] loads(double all, double firstFactor) {
        double[] loads = new double[ShareSimulation.ACCOUNTS];
        Arrays.fill(loads, all / ShareSimulation.ACCOUNTS);
        loads[0] *= firstFactor;
        return loads;
    }

    private static void assertOthersServed(ShareSimulation simulation) {
        for (int account = 1; account < ShareSimulation.ACCOUNTS; account++) {
            double asked = simulation.asked[account][0] + simulation.asked[account][1];
            double served = simulation.served[account][0] + simulation.served[account][1];
            assertTrue(served / asked >= MIN_SERVED, "account " + account + " " + served / asked);
        }
    }

    private static Key key(long account, int priority) {
        return new Key(1, account, priority);
    }
}
