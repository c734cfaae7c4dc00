package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.PlacementIndex.Placement;
import io.agatelane.core.fleet.RequestWork;
import io.agatelane.core.fleet.command.PeerLoads.Source;
import io.agatelane.core.limits.AccountDemand;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LoadGossipTest {
    private static final long PROPAGATION_MILLIS = 700;
    private static final long ACCOUNT = 5;
    private static final long MAX_DEMAND = 7_001;
    private static final long CHANGE = 37;

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{5}, {12}, {40}, {80}};
    }

    // Guards against routers of a large fleet that receive the loads of only some others, or count their own twice.
    @Test(dataProvider = "sizes")
    public void everyRouterReceivesAllLoads(int size) {
        GossipCluster cluster = new GossipCluster(size);
        cluster.routers.forEach(
                router -> router.state.load(router.upstream()).recordSent(router, new RequestWork(0, 10, 0), 0));
        cluster.control.advance(PROPAGATION_MILLIS);
        cluster.routers.forEach(router -> assertEquals(router.estimatedRequests(), size, 0.01, router.entry.vm()));
    }

    // Guards against choices by loads that are older than the longest pause in which a short queue builds up.
    @Test
    public void loadsReachAllRoutersWithinHalfASecond() {
        GossipCluster cluster = new GossipCluster(95);
        Random random = new Random(36);
        List<Long> ages = new ArrayList<>();
        for (int trial = 0; trial < 30; trial++) {
            cluster.control.advance(1_000 + random.nextInt(200));
            GossipCluster.Router sender = cluster.routers.get(random.nextInt(cluster.routers.size()));
            Object request = new Object();
            long sentMillis = cluster.control.monotonicMillis();
            sender.state.load(sender.upstream()).recordSent(request, new RequestWork(0, 10, 0), sentMillis);
            Set<GossipCluster.Router> waiting = new HashSet<>(cluster.routers);
            while (!waiting.isEmpty()) {
                cluster.control.advance(10);
                long now = cluster.control.monotonicMillis();
                waiting.removeIf(router -> router.estimatedRequests() > 0.5 && ages.add(now - sentMillis));
            }
            sender.state
                    .load(sender.upstream())
                    .recordEnded(request, new RequestWork(0, 10, 0), cluster.control.monotonicMillis());
        }
        Collections.sort(ages);
        long p99 = ages.get(ages.size() * 99 / 100);
        assertTrue(p99 <= 500, "p99 " + p99);
    }

    // Guards against a router that takes changes of its own demand for demand of the others, and against routers that
    // are counted twice or not at all.
    @Test(dataProvider = "sizes")
    public void ownDemandIsNotCountedAsThatOfOthers(int size) {
        GossipCluster cluster = new GossipCluster(size);
        GossipCluster.Router only = cluster.routers.get(size - 1);
        cluster.routers.forEach(router -> router.gossip.setDemands(new LoadGossip.OwnDemands() {
            @Override
            public List<AccountDemand> accounts(long nowMillis) {
                long demand = router == only ? nowMillis * CHANGE % MAX_DEMAND : 0;
                return List.of(AccountDemand.ofRouter(), new AccountDemand(ACCOUNT, demand, 0));
            }
        }));
        cluster.control.advance(3_000);
        for (int i = 0; i < 20; i++) {
            cluster.control.advance(100);
            Map<Long, AccountDemand> others = only.state
                    .peerAccounts()
                    .sums(EnumSet.allOf(Source.class), Map.of(), cluster.control.monotonicMillis());
            assertEquals(others.get(ACCOUNT).demandPerSecond(), 0);
            assertEquals(others.get(AccountDemand.ROUTERS).demandPerSecond(), size - 1);
        }
    }

    // Guards against traffic that grows with the square of the fleet, and against sums that cross zones many times.
    @Test
    public void packetsGrowWithTheFleet() {
        GossipCluster cluster = new GossipCluster(80);
        cluster.takePackets();
        cluster.takeBytesBetweenZones();
        cluster.control.advance(10_000);
        // In each period, each member sends its relay one packet and gets one; six pass between the three relays.
        int periods = 50;
        assertTrue(cluster.takePackets() <= periods * (2 * 77 + 6), "packets");
        assertTrue(cluster.takeBytesBetweenZones() <= periods * 6 * 1_000, "bytes between zones");
    }

    // Guards against a placement that reaches only some routers, so that the part is read again, or counts twice.
    @Test
    public void placementsReachAllOnce() {
        GossipCluster cluster = new GossipCluster(40);
        cluster.routers.get(3).state.placements().recordLocal(new Placement(7, 1, 1_000));
        cluster.control.advance(PROPAGATION_MILLIS);
        for (GossipCluster.Router router : cluster.routers) {
            assertTrue(router.state.placements().holds(7, 1, 1), router.entry.vm());
            router.state.placements().recordLocal(new Placement(8, 1, 1_000));
            assertTrue(router.state.placements().holds(7, 1, 1_001), router.entry.vm());
        }
    }

    // Guards against a zone that receives nothing more after its relay was killed.
    @Test
    public void killedRelayIsReplaced() {
        GossipCluster cluster = new GossipCluster(40);
        assertEquals(cluster.relays().size(), 3);
        GossipCluster.Router killed = cluster.relays().get(0);
        killed.routerControl.kill();
        List<GossipCluster.Router> alive =
                cluster.routers.stream().filter(router -> router != killed).toList();
        alive.forEach(router -> router.state.load(router.upstream()).recordSent(router, new RequestWork(0, 10, 0), 0));
        cluster.control.advance(1_000 + 2 * PROPAGATION_MILLIS);
        alive.forEach(router -> assertEquals(router.estimatedRequests(), alive.size(), 0.01, router.entry.vm()));
    }

    // Guards against reservations of the roll-out that circulate between relays after they have ended.
    @Test
    public void endedReservationsExpire() {
        GossipCluster cluster = new GossipCluster(40);
        GossipCluster.Router holder = cluster.routers.get(5);
        long upstream = FleetState.keyHash(holder.upstream());
        holder.state.setRolloutHints(new RolloutHints(Set.of(upstream), Map.of()));
        cluster.control.advance(PROPAGATION_MILLIS);
        GossipCluster.Router other = cluster.routers.get(7);
        assertTrue(other.state.isReserved(other.upstream(), cluster.control.monotonicMillis()));
        holder.state.setRolloutHints(RolloutHints.NONE);
        cluster.control.advance(5_000);
        assertTrue(!other.state.isReserved(other.upstream(), cluster.control.monotonicMillis()));
    }

    // Guards against the announced version of one model that is taken for the version of another one.
    @Test
    public void announcedWeightsCountForTheirModelOnly() {
        GossipCluster cluster = new GossipCluster(40);
        GossipCluster.Router holder = cluster.routers.get(5);
        ModelOnUpstream loaded = ModelOnUpstream.of(holder.upstream().key(), FakeFleet.OTHER_MODEL);
        holder.state.setRolloutHints(new RolloutHints(Set.of(), Map.of(loaded, 7L)));
        cluster.control.advance(PROPAGATION_MILLIS);
        GossipCluster.Router other = cluster.routers.get(7);
        FleetSnapshot snapshot = other.state.snapshot();
        assertEquals(other.state.weightsVersion(snapshot, other.upstream(), FakeFleet.OTHER_MODEL), 7);
        assertEquals(other.state.weightsVersion(snapshot, other.upstream(), FakeFleet.MODEL), 1);
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
                assertTrue(router.configAgeMillis() <= 2_000, router.entry.vm() + " " + router.configAgeMillis()));
    }

    // Guards against periodic reads of the newest state by routers that a relay keeps current: they cost ten times as
    // much as reads that may be stale.
    @Test
    public void routersBehindARelayReadPossiblyStaleStates() {
        GossipCluster cluster = new GossipCluster(80);
        int newest = cluster.fleet.newestReads();
        int stale = cluster.fleet.staleReads();
        cluster.control.advance(12_000);
        assertTrue(cluster.fleet.newestReads() - newest <= 3 * 18, "newest " + (cluster.fleet.newestReads() - newest));
        assertTrue(cluster.fleet.staleReads() - stale >= 77 * 2, "stale " + (cluster.fleet.staleReads() - stale));
    }

    // Guards against a router that acts on a state which its relay has seen replaced.
    @Test
    public void staleStateThatTheRelayDoesNotConfirmIsReadAgain() {
        GossipCluster cluster = new GossipCluster(80);
        cluster.fleet.freezeStaleReads();
        cluster.fleet.setListed("e1", false);
        cluster.control.advance(2_500);
        cluster.routers.forEach(router ->
                assertEquals(router.state.snapshot().view().upstreams().size(), 3, router.entry.vm()));
    }

    // Guards against a change that the routers behind a relay see only with their own next read.
    @Test
    public void changesReachAllWithinTheBound() {
        GossipCluster cluster = new GossipCluster(80);
        cluster.fleet.requestVersion(2);
        cluster.control.advance(1_500);
        cluster.routers.forEach(router -> assertEquals(
                router.state.snapshot().view().newestWeightsVersions().get(FakeFleet.MODEL),
                Long.valueOf(2),
                router.entry.vm()));
        cluster.fleet.setListed("e1", false);
        cluster.control.advance(2_500);
        cluster.routers.forEach(router ->
                assertEquals(router.state.snapshot().view().upstreams().size(), 3, router.entry.vm()));
    }

    // Guards against routers that take the content of the era before for that of their relay, because the store has
    // given the same revisions out again.
    @Test
    public void newEraOfTheStoreReachesAllWithinTheBound() {
        GossipCluster cluster = new GossipCluster(40);
        cluster.store.goBackTo(cluster.store.copy());
        cluster.control.advance(1_100);
        cluster.routers.forEach(router -> assertEquals(router.poller.era(), 1, router.entry.vm()));
        cluster.control.advance(6_000);
        cluster.routers.forEach(router ->
                assertTrue(router.configAgeMillis() <= 2_000, router.entry.vm() + " " + router.configAgeMillis()));
    }

    @DataProvider
    public Object[][] directAndRelayed() {
        return new Object[][] {{3}, {40}};
    }

    // Guards against a router that accepts keys by a configuration of which its peers or its relay know a newer one,
    // shortly after the store went back.
    @Test(dataProvider = "directAndRelayed")
    public void routersLearnOfNewerConfigurationsFromDigests(int size) {
        GossipCluster cluster = new GossipCluster(size);
        cluster.fleet.configure(5);
        cluster.store.goBackTo(cluster.store.copy());
        cluster.control.advance(6_000);
        GossipCluster.Router behind = cluster.routers.stream()
                .filter(router -> !router.gossip.isRelay())
                .findFirst()
                .orElseThrow();
        assertTrue(behind.configAgeMillis() <= 2_000, "age " + behind.configAgeMillis());
        behind.setCutFromStore(true);
        cluster.fleet.configure(6);
        cluster.control.advance(2_500);
        assertTrue(behind.configAgeMillis() > 10_000_000, "age " + behind.configAgeMillis());
        behind.setCutFromStore(false);
        cluster.control.advance(6_000);
        assertTrue(behind.configAgeMillis() <= 2_000, "age " + behind.configAgeMillis());
    }

    // Guards against members whose configuration goes stale with that of a relay which no longer reaches the store.
    @Test
    public void relayCutFromTheStoreVerifiesNothing() {
        GossipCluster cluster = new GossipCluster(40);
        GossipCluster.Router relay = cluster.relays().get(0);
        relay.setCutFromStore(true);
        cluster.control.advance(6_000);
        assertTrue(relay.configAgeMillis() >= 5_000, "age at the relay itself " + relay.configAgeMillis());
        cluster.routers.stream()
                .filter(router -> router != relay)
                .forEach(router -> assertTrue(
                        router.configAgeMillis() <= 2_500, router.entry.vm() + " " + router.configAgeMillis()));
    }

    // Guards against a revoked key that is accepted because a delayed response seems to verify the configuration now.
    @Test
    public void delayedResponseVerifiesOnlyItsRequest() {
        GossipCluster cluster = new GossipCluster(40);
        GossipCluster.Router member = cluster.routers.stream()
                .filter(router -> !router.gossip.isRelay())
                .findFirst()
                .orElseThrow();
        member.setCutFromStore(true);
        member.delayIncoming(3_000);
        cluster.control.advance(3_500);
        for (int i = 0; i < 20; i++) {
            cluster.control.advance(100);
            assertTrue(member.configAgeMillis() >= 3_000, "age " + member.configAgeMillis());
        }
    }

    // Guards against a VM that cannot reach the store and refuses although its relay can verify the configuration.
    @Test
    public void memberCutFromTheStoreIsKeptCurrent() {
        GossipCluster cluster = new GossipCluster(40);
        GossipCluster.Router member = cluster.routers.stream()
                .filter(router -> !router.gossip.isRelay())
                .findFirst()
                .orElseThrow();
        member.setCutFromStore(true);
        cluster.control.advance(10_000);
        assertTrue(member.configAgeMillis() <= 2_000, "age " + member.configAgeMillis());
    }
}
