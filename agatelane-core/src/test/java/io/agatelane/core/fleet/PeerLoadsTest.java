package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;

import io.agatelane.core.fleet.command.PeerLoads;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

public class PeerLoadsTest {
    private static final long ENGINE = 42;

    // Guards against a late datagram, or one of an earlier incarnation, that overwrites a newer load.
    @Test
    public void olderDigestsAreIgnored() {
        PeerLoads peers = new PeerLoads();
        peers.update("a", 2, 5, List.of(load(3, 0)), 0);
        peers.update("a", 2, 4, List.of(load(9, 0)), 1);
        peers.update("a", 1, 99, List.of(load(9, 0)), 2);
        assertEquals(peers.total(ENGINE, 3).inFlight(), 3);
    }

    // Guards against a lost datagram that erases the loads of other datagrams, and a late one that restores old loads.
    @Test
    public void partsReplaceOnlyTheirRange() {
        PeerLoads peers = new PeerLoads();
        UpstreamRange low = new UpstreamRange(Long.MIN_VALUE, 50);
        UpstreamRange high = new UpstreamRange(51, Long.MAX_VALUE);
        update(peers, 1, UpstreamRange.ALL, List.of(load(3, 0), load(60, 7, 0)));
        update(peers, 2, low, List.of());
        assertEquals(peers.total(ENGINE, 0).inFlight(), 0);
        assertEquals(peers.total(60, 100).inFlight(), 7);
        update(peers, 4, high, List.of(load(60, 1, 0)));
        update(peers, 3, new UpstreamRange(42, 60), List.of(load(5, 0), load(60, 9, 0)));
        assertEquals(peers.total(ENGINE, 200).inFlight(), 5);
        assertEquals(peers.total(60, 200).inFlight(), 1);
    }

    // Guards against ages that leave out the time that news spent at a relay.
    @Test
    public void ageIncludesTheTimeBeforeTheDatagramWasSent() {
        PeerLoads peers = new PeerLoads();
        peers.update(
                "r",
                PeerLoads.Source.RELAY,
                1,
                new PeerLoads.Part(1, UpstreamRange.ALL, 250, List.of(load(3, 0))),
                1_000);
        assertEquals(peers.meanAgeMillis(Set.of(PeerLoads.Source.RELAY), 1_100), 350);
    }

    // Guards against the load of a killed router that is counted forever.
    @Test
    public void routersWithoutDigestsExpire() {
        PeerLoads peers = new PeerLoads();
        peers.update("a", 1, 1, List.of(load(3, 0)), 0);
        peers.update("b", 1, 1, List.of(load(2, 0)), 3_000);
        assertEquals(peers.total(ENGINE, 3_500).inFlight(), 2);
        assertEquals(peers.total(ENGINE, 9_000), PeerTotal.NONE);
    }

    // Guards against a single router that is cut off from an engine and makes all others avoid it.
    @Test
    public void unresponsivenessNeedsTwoObservers() {
        PeerLoads peers = new PeerLoads();
        peers.update("a", 1, 1, List.of(load(1, 2_000)), 0);
        peers.update("b", 1, 1, List.of(load(1, 0)), 0);
        assertEquals(peers.total(ENGINE, 1).confirmedUnansweredMillis(), 0);
        peers.update("b", 1, 2, List.of(load(1, 700)), 50);
        assertEquals(peers.total(ENGINE, 100).confirmedUnansweredMillis(), 700);
    }

    // Guards against urgent requests for which work of lower priority counts as work ahead of them.
    @Test
    public void backlogIsSeparatedByPriority() {
        PrefillBacklog backlog = PrefillBacklog.EMPTY.with(1, 30).with(4, 500);
        assertEquals(backlog.millisAhead(1), 30.0);
        assertEquals(backlog.millisAhead(9), 530.0);
        assertEquals(PrefillBacklog.of(backlog.wholeMillisByPriority()).millisAhead(9), 530.0);
        assertEquals(backlog.with(4, -800).totalMillis(), 30.0);
    }

    private static void update(PeerLoads peers, long sequence, UpstreamRange range, List<PeerLoad> loads) {
        peers.update("a", PeerLoads.Source.ROUTER, 1, new PeerLoads.Part(sequence, range, 0, loads), 0);
    }

    private static PeerLoad load(int inFlight, int unansweredMillis) {
        return load(ENGINE, inFlight, unansweredMillis);
    }

    private static PeerLoad load(long upstream, int inFlight, int unansweredMillis) {
        return new PeerLoad(upstream, inFlight, PrefillBacklog.EMPTY, unansweredMillis, 0, 0);
    }
}
