package io.agatelane.core.routing;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class EngineChooserSimulationTest {
    private static final long SEED = 7;
    private static final int REQUESTS = 20_000;
    // About 45% of the slots are busy; with round robin the queues do not grow at this rate.
    private static final double ARRIVAL_INTERVAL_MILLIS = 24;

    // Guards against choices that prefill prefixes again: compares with simple policies, and with an oracle that sees
    // every cache.
    @Test
    public void findsCachedPrefixes() {
        RoutingSimulation.Result chosen = simulation().run(new RoutingSimulation.ChooserPolicy(true));
        RoutingSimulation.Result oracle = simulation().run(RoutingSimulation.oracle());
        RoutingSimulation.Result roundRobin = simulation().run(RoutingSimulation.roundRobin());
        RoutingSimulation.Result leastLoad = simulation().run(RoutingSimulation.leastReportedLoad());
        String results = chosen + " oracle " + oracle + " round robin " + roundRobin + " least load " + leastLoad;
        assertTrue(chosen.hitRate() >= 0.95 * oracle.hitRate(), results);
        assertTrue(chosen.computedTokens() * 2 < roundRobin.computedTokens(), results);
        assertTrue(chosen.computedTokens() * 2 < leastLoad.computedTokens(), results);
        assertTrue(chosen.p99Millis() <= 0.5 * leastLoad.p99Millis(), results);
    }

    // Guards against queues that build up because load reports are late; the router's own requests must correct them.
    @Test
    public void toleratesLateReports() {
        RoutingSimulation.Result onTime = simulation().run(new RoutingSimulation.ChooserPolicy(true));
        RoutingSimulation.Result late =
                simulation().withReportLag(2_000).run(new RoutingSimulation.ChooserPolicy(true));
        RoutingSimulation.Result leastLoad =
                simulation().withReportLag(2_000).run(RoutingSimulation.leastReportedLoad());
        assertTrue(late.p99Millis() <= 1.3 * onTime.p99Millis(), late + " on time " + onTime);
        assertTrue(late.p99Millis() <= 0.2 * leastLoad.p99Millis(), late + " least load " + leastLoad);
    }

    // Guards against a straggler that delays requests of the whole fleet: one engine is 10 times slower for 5 s at a
    // time.
    @Test
    public void avoidsStragglers() {
        RoutingSimulation.Result undisturbed = simulation().run(new RoutingSimulation.ChooserPolicy(true));
        RoutingSimulation.Result disturbed =
                simulation().withReportLag(2_000).withStraggler().run(new RoutingSimulation.ChooserPolicy(true));
        assertTrue(disturbed.p99Millis() <= 1.3 * undisturbed.p99Millis(), disturbed + " " + undisturbed);
    }

    // Guards against worse choices after a restart (I3): a router that loses its state every 2,000 requests must find
    // the same engines.
    @Test
    public void survivesRestarts() {
        RoutingSimulation.Result steady = simulation().run(new RoutingSimulation.ChooserPolicy(true));
        RoutingSimulation.Result restarted =
                simulation().run(new RoutingSimulation.ChooserPolicy(true).withRestartEvery(2_000));
        assertTrue(restarted.hitRate() >= steady.hitRate() - 0.02, restarted + " steady " + steady);
    }

    private static RoutingSimulation simulation() {
        return new RoutingSimulation(SEED, ARRIVAL_INTERVAL_MILLIS, REQUESTS);
    }
}
