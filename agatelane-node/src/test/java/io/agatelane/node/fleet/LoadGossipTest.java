package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.PlacementIndex.Placement;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LoadGossipTest {
    private static final long ROUND_MILLIS = 700;

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{5}, {12}, {40}, {80}};
    }

    // Guards against routers of a large fleet that hear only a part of the others, or hear their own load twice.
    @Test(dataProvider = "sizes")
    public void everyRouterHearsAllOthers(int size) {
        GossipCluster cluster = new GossipCluster(size);
        cluster.routers.forEach(router -> router.state.load(router.upstream()).sent(router, 0, 10, 0));
        cluster.control.advance(ROUND_MILLIS);
        cluster.routers.forEach(router -> assertEquals(router.seen(), size, 0.01, router.entry.vm()));
    }

    // Guards against packets that grow with the square of the fleet, and against sums that cross zones many times.
    @Test
    public void packetsGrowWithTheFleet() {
        GossipCluster cluster = new GossipCluster(80);
        cluster.takePackets();
        cluster.takeBytesBetweenZones();
        cluster.control.advance(10_000);
        // Each router one packet to its relay and one from it in a period, and six between the three relays.
        int periods = 50;
        assertTrue(cluster.takePackets() <= periods * (2 * 77 + 6), "packets");
        assertTrue(cluster.takeBytesBetweenZones() <= periods * 6 * 1_000, "bytes between zones");
    }

    // Guards against a part that is read again because its placement reached only some routers, or counts twice.
    @Test
    public void placementsReachAllOnce() {
        GossipCluster cluster = new GossipCluster(40);
        cluster.routers.get(3).state.placements().placed(new Placement(7, 1, 1_000));
        cluster.control.advance(ROUND_MILLIS);
        for (GossipCluster.Router router : cluster.routers) {
            assertTrue(router.state.placements().holds(7, 1, 1), router.entry.vm());
            router.state.placements().placed(new Placement(8, 1, 1_000));
            assertTrue(router.state.placements().holds(7, 1, 1_001), router.entry.vm());
        }
    }

    // Guards against a zone that hears nothing more after its relay was killed.
    @Test
    public void killedRelayIsReplaced() {
        GossipCluster cluster = new GossipCluster(40);
        assertEquals(cluster.relays().size(), 3);
        GossipCluster.Router killed = cluster.relays().get(0);
        killed.own.kill();
        List<GossipCluster.Router> alive =
                cluster.routers.stream().filter(router -> router != killed).toList();
        alive.forEach(router -> router.state.load(router.upstream()).sent(router, 0, 10, 0));
        cluster.control.advance(1_000 + 2 * ROUND_MILLIS);
        alive.forEach(router -> assertEquals(router.seen(), alive.size(), 0.01, router.entry.vm()));
    }

    // Guards against reservations of the roll-out that circle between relays after they have ended.
    @Test
    public void hintsEnd() {
        GossipCluster cluster = new GossipCluster(40);
        GossipCluster.Router holder = cluster.routers.get(5);
        long upstream = FleetState.hash(holder.upstream());
        holder.state.rolloutHints(new RolloutHints(Set.of(upstream), Map.of()));
        cluster.control.advance(ROUND_MILLIS);
        GossipCluster.Router other = cluster.routers.get(7);
        assertTrue(other.state.isReserved(other.upstream(), cluster.control.monotonicMillis()));
        holder.state.rolloutHints(RolloutHints.NONE);
        cluster.control.advance(5_000);
        assertTrue(!other.state.isReserved(other.upstream(), cluster.control.monotonicMillis()));
    }

    // Guards against calls to the store that grow with the fleet while nothing changes.
    @Test
    public void relaysReadForTheOthers() {
        GossipCluster cluster = new GossipCluster(80);
        int before = cluster.store.readCount();
        cluster.control.advance(10_000);
        // Three relays each 700 ms, the others each 4 s.
        int reads = cluster.store.readCount() - before;
        assertTrue(reads <= 3 * 15 + 77 * 3, "reads " + reads);
        cluster.routers.forEach(router ->
                assertTrue(router.proofAgeMillis() <= 2_000, router.entry.vm() + " " + router.proofAgeMillis()));
    }

    // Guards against a change that the routers behind a relay see only with their own next read.
    @Test
    public void changesReachAllWithinTheBound() {
        GossipCluster cluster = new GossipCluster(80);
        cluster.fleet.name(2);
        cluster.control.advance(1_500);
        cluster.routers.forEach(router -> assertEquals(
                router.state.knowledge().view().newestWeights().get(FakeFleet.MODEL),
                Long.valueOf(2),
                router.entry.vm()));
        cluster.fleet.setListed("e1", false);
        cluster.control.advance(2_500);
        cluster.routers.forEach(router ->
                assertEquals(router.state.knowledge().view().upstreams().size(), 3, router.entry.vm()));
    }

    // Guards against members that take over the age of a relay which no longer reaches the store.
    @Test
    public void relayCutFromTheStoreProvesNothing() {
        GossipCluster cluster = new GossipCluster(40);
        GossipCluster.Router relay = cluster.relays().get(0);
        relay.setCutFromStore(true);
        cluster.control.advance(6_000);
        assertTrue(relay.proofAgeMillis() >= 5_000, "the relay itself " + relay.proofAgeMillis());
        cluster.routers.stream()
                .filter(router -> router != relay)
                .forEach(router -> assertTrue(
                        router.proofAgeMillis() <= 2_500, router.entry.vm() + " " + router.proofAgeMillis()));
    }

    // Guards against a revoked key that is honoured because a late answer looks like a fresh proof.
    @Test
    public void lateAnswerProvesOnlyItsQuestion() {
        GossipCluster cluster = new GossipCluster(40);
        GossipCluster.Router member = cluster.routers.stream()
                .filter(router -> !router.gossip.isRelay())
                .findFirst()
                .orElseThrow();
        member.setCutFromStore(true);
        member.delayPackets(3_000);
        cluster.control.advance(3_500);
        for (int i = 0; i < 20; i++) {
            cluster.control.advance(100);
            assertTrue(member.proofAgeMillis() >= 3_000, "age " + member.proofAgeMillis());
        }
    }

    // Guards against a VM without a way to the store that refuses although its relay can prove the configuration.
    @Test
    public void memberCutFromTheStoreIsKeptCurrent() {
        GossipCluster cluster = new GossipCluster(40);
        GossipCluster.Router member = cluster.routers.stream()
                .filter(router -> !router.gossip.isRelay())
                .findFirst()
                .orElseThrow();
        member.setCutFromStore(true);
        cluster.control.advance(10_000);
        assertTrue(member.proofAgeMillis() <= 2_000, "age " + member.proofAgeMillis());
    }
}
