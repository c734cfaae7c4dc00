package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.command.PeerLoads;
import io.agatelane.core.fleet.command.UpstreamLoad;
import java.util.List;
import org.testng.annotations.Test;

public class RemainingWorkTest {
    private static final long ENGINE = 42;
    private static final int SLOTS = 4;

    // Guards against a response that counts in full until its last byte, and against one that counts for nothing
    // because
    // it takes longer than expected.
    @Test
    public void workOfOwnRequestsEndsWithTime() {
        UpstreamLoad load = new UpstreamLoad();
        RequestWork work = new RequestWork(0, 60, 200, 0);
        load.recordSent("a", work, 0);
        assertEquals(remaining(load, 50), 260.0);
        load.recordResponseStarted("a", work, 60);
        assertEquals(remaining(load, 60), 200.0);
        assertEquals(remaining(load, 160), 100.0);
        assertEquals(remaining(load, 500), 40.0);
        load.recordEnded("a", work, 600);
        assertEquals(remaining(load, 600), 0.0);
    }

    // Guards against a wait for a slot that is the same whether requests run for 20 ms or for 2 s.
    @Test
    public void slotWaitFollowsTheRemainingWork() {
        for (double millis : new double[] {20, 2_000}) {
            UpstreamLoad load = new UpstreamLoad();
            RequestWork work = new RequestWork(0, 0, millis, 0);
            for (int i = 0; i < SLOTS; i++) {
                load.recordSent(i, work, 0);
                load.recordResponseStarted(i, work, 0);
            }
            double halfDone =
                    load.estimate(PeerTotal.NONE, Math.round(millis / 2)).slotWaitMillis(SLOTS);
            assertEquals(halfDone, millis / SLOTS, 1e-9);
            assertEquals(UpstreamEstimate.IDLE.slotWaitMillis(SLOTS), 0.0);
        }
        UpstreamEstimate unknown = new UpstreamEstimate(SLOTS, PrefillBacklog.EMPTY, 100, 0, 0, 0);
        assertEquals(unknown.slotWaitMillis(SLOTS), RequestWork.ASSUMED_OUTPUT_MILLIS / SLOTS, "as before");
    }

    // Guards against old reports that count as much as new ones: all routers would follow a load that has ended.
    @Test
    public void oldReportsMoveTowardsTheMean() {
        PeerLoads peers = new PeerLoads();
        long now = 0;
        for (; now < 10_000; now += 200) {
            report(peers, now, now, 0, 2, 100);
            peers.expected(ENGINE, now);
        }
        report(peers, now, now, 0, 10, 500);
        double fresh = peers.expected(ENGINE, now).remainingMillis();
        report(peers, now + 40, now + 40, 600, 10, 500);
        double old = peers.expected(ENGINE, now + 40).remainingMillis();
        assertTrue(fresh > 400, "fresh " + fresh);
        assertTrue(old < 250 && old >= 100, "old " + old);
    }

    private static void report(
            PeerLoads peers, long nowMillis, long sequence, long ageMillis, int inFlight, double remainingMillis) {
        PeerLoad load =
                new PeerLoad(ENGINE, inFlight, PrefillBacklog.EMPTY, 0, 0, 0, remainingMillis, UpstreamPace.UNKNOWN);
        peers.update(
                "relay",
                PeerLoads.Source.RELAY,
                1,
                new PeerLoads.Part(sequence, UpstreamRange.ALL, ageMillis, List.of(load)),
                nowMillis);
    }

    private static double remaining(UpstreamLoad load, long nowMillis) {
        return load.estimate(PeerTotal.NONE, nowMillis).remainingMillis();
    }
}
