package io.agatelane.core.fleet;

import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.ChoiceSimulation.Policy;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EngineChoiceTest {
    private static final double MAX_BY_ORACLE = 1.3;

    /** Routers, engines, share of the engines' prefill capacity in use, and seed. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{7, 12, 0.3, 1L}, {7, 12, 0.5, 2L}, {85, 63, 0.3, 3L}, {85, 63, 0.5, 4L}};
    }

    // Guards against short prompts that wait behind long ones, slow engines that get as much as fast ones, and routers
    // that follow old reports together.
    @Test(dataProvider = "fleets")
    public void firstTokenIsEarlierThanBefore(int routers, int engines, double utilisation, long seed) {
        double baseline = p99(Policy.BASELINE, routers, engines, utilisation, seed);
        double current = p99(Policy.CURRENT, routers, engines, utilisation, seed);
        assertTrue(current <= baseline, "p99 in ms: baseline " + baseline + ", current " + current);
    }

    // Guards against a first token that is much later than with the true state of all engines.
    @Test(dataProvider = "fleets", groups = "known-red")
    public void firstTokenIsNearlyAsEarlyAsWithTheTrueState(int routers, int engines, double utilisation, long seed) {
        double oracle = p99(Policy.ORACLE, routers, engines, utilisation, seed);
        double current = p99(Policy.CURRENT, routers, engines, utilisation, seed);
        assertTrue(current <= MAX_BY_ORACLE * oracle, "p99 in ms: oracle " + oracle + ", current " + current);
    }

    private static double p99(Policy policy, int routers, int engines, double utilisation, long seed) {
        List<Double> times = new ChoiceSimulation(policy, routers, engines, seed).run(utilisation);
        return times.get((int) (0.99 * (times.size() - 1)));
    }
}
