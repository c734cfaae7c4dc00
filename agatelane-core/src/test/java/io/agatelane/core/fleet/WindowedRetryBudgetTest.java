package io.agatelane.core.fleet;

import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.command.WindowedRetryBudget;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class WindowedRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final long WINDOW_MILLIS = 10_000;

    @DataProvider
    public Object[][] seeds() {
        // Seed, number of routers, slack: small deployments, and large ones whose slack does not grow with the fleet.
        return new Object[][] {
            {1L, 9, 54},
            {2L, 9, 54},
            {3L, 9, 54},
            {4L, 9, 54},
            {5L, 9, 54},
            {3L, 7, 54},
            {4L, 58, 156},
            {5L, 80, 200},
            {6L, 300, 200}
        };
    }

    // Guards against routers that each spend the whole budget: all routers together must not exceed the limit in any
    // window, even when every attempt fails, demand varies and some routers restart with an empty window.
    @Test(dataProvider = "seeds")
    public void allRoutersTogetherStayWithinTheLimit(long seed, int size, int slack) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<WindowedRetryBudget> routers = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            routers.add(budget(slack));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (long now = 0; now < 60_000; now += 1 + random.nextInt(now % 20_000 < 5_000 ? 5 : 50)) {
            int router = random.nextInt(size);
            if (random.nextInt(2_000) == 0) {
                routers.set(router, budget(slack));
            }
            routers.get(router).recordRequest(now);
            requests.add(now);
            while (routers.get(router).tryTake(now, size)) {
                retries.add(now);
            }
        }
        for (long end = 0; end < 60_000; end += 500) {
            long allowed = Math.round(RATIO * inWindow(requests, end) + slack);
            assertTrue(inWindow(retries, end) <= allowed, "seed " + seed + ", window ending at " + end);
        }
    }

    private static WindowedRetryBudget budget(int slack) {
        return new WindowedRetryBudget(RATIO * 0.7, slack, WINDOW_MILLIS);
    }

    private static long inWindow(List<Long> times, long endMillis) {
        return times.stream()
                .filter(time -> time > endMillis - WINDOW_MILLIS && time <= endMillis)
                .count();
    }
}
