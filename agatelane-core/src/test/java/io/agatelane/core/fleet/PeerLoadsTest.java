package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;

import io.agatelane.core.fleet.command.PeerLoads;
import java.util.List;
import org.testng.annotations.Test;

public class PeerLoadsTest {
    private static final long ENGINE = 42;

    // Guards against a late datagram, or one of an earlier start, that brings old load back.
    @Test
    public void olderDigestsAreIgnored() {
        PeerLoads peers = new PeerLoads();
        peers.update("a", 2, 5, List.of(load(3, 0)), 0);
        peers.update("a", 2, 4, List.of(load(9, 0)), 1);
        peers.update("a", 1, 99, List.of(load(9, 0)), 2);
        assertEquals(peers.total(ENGINE, 3).inFlight(), 3);
    }

    // Guards against the load of a router that was killed and would count for ever.
    @Test
    public void silentRoutersExpire() {
        PeerLoads peers = new PeerLoads();
        peers.update("a", 1, 1, List.of(load(3, 0)), 0);
        peers.update("b", 1, 1, List.of(load(2, 0)), 3_000);
        assertEquals(peers.total(ENGINE, 3_500).inFlight(), 2);
        assertEquals(peers.total(ENGINE, 9_000), PeerTotal.NONE);
    }

    // Guards against one router that is cut off from an engine and makes all others avoid it.
    @Test
    public void silenceNeedsTwoWitnesses() {
        PeerLoads peers = new PeerLoads();
        peers.update("a", 1, 1, List.of(load(1, 2_000)), 0);
        peers.update("b", 1, 1, List.of(load(1, 0)), 0);
        assertEquals(peers.total(ENGINE, 1).silentMillis(), 0);
        peers.update("b", 1, 2, List.of(load(1, 700)), 50);
        assertEquals(peers.total(ENGINE, 100).silentMillis(), 700);
    }

    // Guards against urgent requests that count work behind them as work before them.
    @Test
    public void backlogIsKeptByPriority() {
        PrefillBacklog backlog = PrefillBacklog.EMPTY.with(1, 30).with(4, 500);
        assertEquals(backlog.before(1), 30.0);
        assertEquals(backlog.before(9), 530.0);
        assertEquals(PrefillBacklog.of(backlog.figures()).before(9), 530.0);
        assertEquals(backlog.with(4, -800).total(), 30.0);
    }

    private static PeerLoad load(int inFlight, int silentMillis) {
        return new PeerLoad(ENGINE, inFlight, PrefillBacklog.EMPTY, silentMillis, 0);
    }
}
