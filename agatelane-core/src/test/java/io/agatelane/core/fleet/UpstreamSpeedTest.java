package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.command.NormalDuration;
import io.agatelane.core.fleet.command.PeerLoads;
import io.agatelane.core.fleet.command.UpstreamLoad;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Upstreams that take 0.6, 1 and 1.6 times as long as usual, behind a service whose expectation is wrong as a whole. */
public class UpstreamSpeedTest {
    private static final long ENGINE = 42;
    private static final double[] FACTORS = {0.6, 1, 1.6};
    private static final double EXPECTATION_ERROR = 2.3;
    private static final int RUN_MILLIS = 30_000;
    // Time between two responses of an engine; with 85 routers, one router sees it every ten seconds.
    private static final int RESPONSE_MILLIS = 110;
    private static final int ENGINES = 63;

    @DataProvider
    public Object[][] routerCounts() {
        return new Object[][] {{1}, {7}, {85}};
    }

    // Guards against a lasting speed that is taken for a larger cost of requests, and against routers that do not learn
    // from each other because each of them sees an upstream rarely.
    @Test(dataProvider = "routerCounts")
    public void lastingSpeedsBecomeKnown(int routers) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
        UpstreamLoad[][] loads = new UpstreamLoad[ENGINES][routers];
        NormalDuration[] normals = new NormalDuration[routers];
        for (int router = 0; router < routers; router++) {
            normals[router] = new NormalDuration();
            for (UpstreamLoad[] byRouter : loads) {
                byRouter[router] = new UpstreamLoad();
            }
        }
        for (int now = 0; now < RUN_MILLIS; now += RESPONSE_MILLIS) {
            for (int engine = 0; engine < ENGINES; engine++) {
                int router = random.nextInt(routers);
                double expected = 20 * Math.pow(10, random.nextDouble());
                double noise = Math.exp((random.nextDouble() - 0.5) * 1.2);
                double observed = expected * EXPECTATION_ERROR * FACTORS[engine % FACTORS.length] * noise;
                NormalDuration.Sample sample = normals[router].record(observed, expected);
                loads[engine][router].recordDuration(sample.factor(), sample.weight(), now);
            }
        }
        double usual = percent(loads[1], RUN_MILLIS);
        assertEquals(usual, 100, 20, "usual speed");
        assertEquals(percent(loads[0], RUN_MILLIS) / usual, 0.6, 0.15, "fast");
        assertEquals(percent(loads[2], RUN_MILLIS) / usual, 1.6, 0.3, "slow");
    }

    // Guards against a disturbance of less than a second that keeps an upstream out of use for long, and against one
    // that
    // is not seen while it lasts.
    @Test
    public void shortDisturbanceIsForgotten() {
        UpstreamLoad load = new UpstreamLoad();
        int now = 0;
        for (; now < 10_000; now += 100) {
            load.recordReport(1, 0, 100, now);
            load.recordDuration(1, 1, now);
        }
        for (; now < 10_600; now += 100) {
            load.recordReport(1, 0, 250, now);
            load.recordDuration(2.5, 1, now);
        }
        assertTrue(percent(load, now) > 200, "during the disturbance " + percent(load, now));
        assertEquals(percent(load, now + 2_500), 100, 8);
    }

    // Guards against slowness that is counted twice where an upstream's own figure contains its lasting speed.
    @Test
    public void lastingSlownessInReportsCountsOnce() {
        UpstreamLoad load = new UpstreamLoad();
        for (int now = 0; now < 20_000; now += 100) {
            load.recordReport(1, 0, 160, now);
            load.recordDuration(1.6, 1, now);
        }
        assertEquals(percent(load, 20_000), 160, 12);
        assertEquals(percent(load, 25_000), 160, 12);
    }

    // Guards against a single request that waited for a lost cache entry, and against useless figures of an upstream.
    @Test
    public void singleObservationsProveLittle() {
        UpstreamLoad load = new UpstreamLoad();
        load.recordDuration(50, 1, 0);
        load.recordDuration(Double.NaN, 1, 0);
        load.recordReport(1, 0, Double.NaN, 0);
        load.recordReport(1, 0, -3, 0);
        assertTrue(percent(load, 0) < 130, "after one " + percent(load, 0));
        load.recordReport(1, 0, 1e9, 0);
        assertTrue(percent(load, 0) <= 2_600, "clamped " + percent(load, 0));
    }

    // Guards against noise that decides between equal upstreams.
    @Test
    public void equalUpstreamsStayEqual() {
        UpstreamLoad load = new UpstreamLoad();
        for (int now = 0; now < 5_000; now += 100) {
            load.recordDuration(now % 200 == 0 ? 1.1 : 0.95, 1, now);
        }
        assertEquals(percent(load, 5_000), 100.0);
    }

    private static double percent(UpstreamLoad load, long nowMillis) {
        return load.estimate(PeerTotal.NONE, nowMillis).durationPercent();
    }

    private static double percent(UpstreamLoad[] loads, long nowMillis) {
        PeerLoads peers = new PeerLoads();
        List<PeerLoad> relayed = new ArrayList<>();
        for (int router = 1; router < loads.length; router++) {
            relayed.add(loads[router].digest(ENGINE, nowMillis));
        }
        peers.update("r", 1, 1, relayed, nowMillis);
        return loads[0].estimate(peers.total(ENGINE, nowMillis), nowMillis).durationPercent();
    }
}
