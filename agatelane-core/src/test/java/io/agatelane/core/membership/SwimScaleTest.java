package io.agatelane.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.membership.query.SwimCounter;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Measures the protocol at the current and the target fleet size, and prints the figures for the capacity page. */
public final class SwimScaleTest {
    private static final int BUDGET_BYTES_PER_SECOND = 22_000;

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{9, 3, 3}, {50, 6, 3}, {370, 22, 3}};
    }

    // Guards against a start of all members, a crash or a configuration change that exceeds the byte budget or takes
    // too long to reach every member at the target fleet size.
    @Test(dataProvider = "sizes")
    public void staysWithinBudgetAndDetectsCrashes(int count, int zones, int zonesPerRegion) {
        SimulatedNetwork network = new SimulatedNetwork(11);
        network.startAll(count, zones, zonesPerRegion);
        long joinMillis = network.runUntilConsistent(60_000);
        assertTrue(joinMillis >= 0, "members that start at once do not converge");

        network.run(20_000);
        Rates idle = measure(network, 60_000);
        assertEquals(network.total(SwimCounter.SUSPICIONS), 0);

        SimulatedNetwork.Node victim = network.node("r" + (count - 1));
        victim.crash();
        int changesBefore = network.changes.size();
        long crashMillis = network.nowMillis();
        long allMillis = network.runUntilConsistent(60_000);
        long firstMillis = network.changes.stream()
                        .skip(changesBefore)
                        .filter(change -> change.to() == MemberStatus.DEAD)
                        .findFirst()
                        .orElseThrow()
                        .millis()
                - crashMillis;

        List<SimulatedNetwork.Node> running = network.running();
        long revisionStart = network.nowMillis();
        running.forEach(node -> node.protocol.setConfigRevision(5));
        Rates changing = measure(network, 1_000);
        while (!allHaveRevision(running) && network.nowMillis() - revisionStart < 20_000) {
            network.run(50);
        }
        long revisionMillis = network.nowMillis() - revisionStart;

        System.out.printf(
                Locale.ROOT,
                "members=%d join_ms=%d idle_sent_bytes_per_s=%.0f idle_received_bytes_per_s=%.0f max_node_bytes_per_s=%.0f"
                        + " cpu_us_per_node_per_s=%.0f first_dead_periods=%.1f all_dead_periods=%.1f"
                        + " revision_everywhere_ms=%d change_bytes_per_s=%.0f largest_packet=%d%n",
                count,
                joinMillis,
                idle.sent,
                idle.received,
                idle.largest,
                idle.cpuMicros,
                firstMillis / 500.0,
                allMillis / 500.0,
                revisionMillis,
                changing.sent + changing.received,
                network.largestPacketBytes);
        assertTrue(idle.largest <= BUDGET_BYTES_PER_SECOND);
        assertTrue(network.largestPacketBytes <= SwimSettings.DEFAULT.maxPacketBytes());
        assertTrue(firstMillis <= 5_000, "milliseconds to the first detection: " + firstMillis);
        assertTrue(allMillis <= 10_000, "milliseconds until all members have detected the crash: " + allMillis);
        assertTrue(revisionMillis <= 8_000, "milliseconds until all members have the revision: " + revisionMillis);
    }

    private static boolean allHaveRevision(List<SimulatedNetwork.Node> nodes) {
        return nodes.stream().allMatch(node -> node.protocol.snapshot().live().stream()
                .allMatch(member -> member.configRevision() == 5));
    }

    private record Rates(double sent, double received, double largest, double cpuMicros) {}

    private static Rates measure(SimulatedNetwork network, long millis) {
        List<SimulatedNetwork.Node> nodes = network.running();
        long[] before = nodes.stream().mapToLong(SwimScaleTest::bytes).toArray();
        long sent = network.total(SwimCounter.BYTES_SENT);
        long received = network.total(SwimCounter.BYTES_RECEIVED);
        long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        network.run(millis);
        double cpuMicros = (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu) / 1_000.0;
        double seconds = millis / 1_000.0;
        double nodeSeconds = seconds * nodes.size();
        double largest = 0;
        for (int i = 0; i < before.length; i++) {
            largest = Math.max(largest, (bytes(nodes.get(i)) - before[i]) / seconds);
        }
        return new Rates(
                (network.total(SwimCounter.BYTES_SENT) - sent) / nodeSeconds,
                (network.total(SwimCounter.BYTES_RECEIVED) - received) / nodeSeconds,
                largest,
                cpuMicros / nodeSeconds);
    }

    private static long bytes(SimulatedNetwork.Node node) {
        return node.protocol.counters().get(SwimCounter.BYTES_SENT)
                + node.protocol.counters().get(SwimCounter.BYTES_RECEIVED);
    }
}
