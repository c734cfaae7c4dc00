package io.agatelane.node.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.config.ShardLayout;
import io.agatelane.core.config.query.RouterRanking;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.MemberState;
import io.agatelane.wire.operator.ApplyRequest;
import io.agatelane.wire.operator.ApplyResponse;
import io.agatelane.wire.operator.ClientAccountSpec;
import io.agatelane.wire.operator.ConfigObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigSynchronizerTest {
    private static final long MAX_IN_FORCE_MILLIS = 8_000;

    @DataProvider
    public Object[][] routerCounts() {
        return new Object[][] {{3}, {10}, {25}, {50}};
    }

    /**
     * Guards against platform reads or watches that grow with the number of routers, and against changes that come into
     * force too late (invariant I9).
     */
    @Test(dataProvider = "routerCounts")
    public void platformCallsDoNotGrowWithRouters(int routers) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(routers);
        ConfigCluster cluster = ConfigCluster.of(routers);
        int changes = 40;
        int reads = cluster.store.reads;
        int writes = cluster.platform.writeCount();
        long peerReads = peerReads(cluster);
        long slowestMillis = 0;
        for (int i = 0; i < changes; i++) {
            ApplyRequest change = ConfigCluster.policy("p" + random.nextInt(20), i + 1, -1, "id-" + i);
            long revision = cluster.await(
                            cluster.node(1 + random.nextInt(routers)).router.apply(change))
                    .getRevision();
            slowestMillis = Math.max(slowestMillis, millisUntilInForce(cluster, revision));
        }
        double readsPerChange = (cluster.store.reads - reads) / (double) changes;
        double writesPerChange = (cluster.platform.writeCount() - writes) / (double) changes;
        double peerReadsPerRouter = (peerReads(cluster) - peerReads) / (double) changes / routers;
        Reporter.log(
                String.format(
                        Locale.ROOT,
                        "routers=%d watches=%d reads_per_change=%.2f writes_per_change=%.2f"
                                + " peer_reads_per_router_and_change=%.2f in_force_millis_max=%d",
                        routers,
                        cluster.store.openWatches,
                        readsPerChange,
                        writesPerChange,
                        peerReadsPerRouter,
                        slowestMillis),
                true);
        assertEquals(cluster.store.openWatches, RouterRanking.WATCHERS_PER_REGION);
        // One read of the head by the writer and one of the changed shard by each watcher.
        assertTrue(readsPerChange <= 3, "reads per change: " + readsPerChange);
        assertTrue(writesPerChange <= 2, "writes per change: " + writesPerChange);
        assertTrue(peerReadsPerRouter <= 1, "peer reads: " + peerReadsPerRouter);
        assertTrue(slowestMillis <= MAX_IN_FORCE_MILLIS, "slowest: " + slowestMillis);
    }

    private static long peerReads(ConfigCluster cluster) {
        return cluster.nodes.values().stream()
                .mapToLong(node -> node.metrics.counter("config.peer_reads").getCount())
                .sum();
    }

    /**
     * Guards against a restart of all routers that overloads the platform or leaves one without configuration
     * (invariant I3).
     */
    @Test(dataProvider = "routerCounts")
    public void simultaneousRestartsReadTwicePerRouter(int routers) {
        ConfigCluster cluster = ConfigCluster.of(routers);
        for (int i = 0; i < 100; i++) {
            cluster.await(cluster.node(1).router.apply(ConfigCluster.policy("p" + i, i + 1, 0, "id-" + i)));
        }
        cluster.settle();
        List.copyOf(cluster.nodes.keySet()).forEach(cluster::stop);
        int reads = cluster.store.reads;
        for (int i = 1; i <= routers; i++) {
            cluster.start(ConfigCluster.name(i));
        }
        cluster.control.advance(400);
        double readsPerRouter = (cluster.store.reads - reads) / (double) routers;
        Reporter.log(String.format(Locale.ROOT, "routers=%d restart_reads=%.2f", routers, readsPerRouter), true);
        for (ConfigCluster.Node node : cluster.nodes.values()) {
            assertTrue(node.started.isDone(), node.name);
            assertEquals(node.router.revision(), 100, node.name);
        }
        // The head and one listing of the shards, and another read by each watcher.
        assertTrue(readsPerRouter <= 2 + 2.0 / routers, "reads per router: " + readsPerRouter);
    }

    /** Guards against routers that query each other without pause for a revision that none of them has. */
    @Test
    public void peerWithoutTheAnnouncedRevisionIsQueriedPeriodically() {
        ConfigCluster cluster = ConfigCluster.of(3);
        long before = peerReads(cluster);
        cluster.node(1).router.announced(ConfigCluster.name(2), 100);
        cluster.control.advance(10_000);
        // One read for the announcement and one for each periodic retry, which runs every 500 ms.
        long reads = peerReads(cluster) - before;
        assertTrue(reads <= 21, "peer reads: " + reads);
    }

    /** Guards against a change that waits for the timeout of the peer that announced it. */
    @Test
    public void secondPeerIsQueriedWhenTheFirstIsLate() {
        ConfigCluster cluster = ConfigCluster.of(6);
        List<String> watchers = RouterRanking.watchers("region-1", cluster.nodes.keySet());
        ConfigCluster.Node reader = cluster.nodes.values().stream()
                .filter(node -> !watchers.contains(node.name))
                .findFirst()
                .orElseThrow();
        // The first peer that announces the change does not respond.
        String unresponsive = cluster.nodes.keySet().stream()
                .filter(name -> !name.equals(reader.name))
                .findFirst()
                .orElseThrow();
        cluster.network.cut(unresponsive, reader.name);
        cluster.await(cluster.nodes.get(watchers.get(0)).router.apply(ConfigCluster.policy("p", 1, 0, "id")));
        cluster.control.advance(ConfigCluster.GOSSIP_MILLIS + 800);
        assertEquals(reader.deadlineOf("p"), 1);
    }

    /** Guards against a start that waits for a slow platform although a peer could respond (invariant I3). */
    @Test
    public void startDoesNotWaitForASlowPlatform() {
        ConfigCluster cluster = ConfigCluster.of(2);
        cluster.await(cluster.node(1).router.apply(ConfigCluster.policy("p", 1, 0, "id")));
        cluster.settle();
        cluster.platform.setLatencyMillis(60_000);
        ConfigCluster.Node restarted = cluster.start(ConfigCluster.name(2));
        cluster.control.advance(20);
        assertTrue(restarted.started.isDone());
        assertEquals(restarted.deadlineOf("p"), 1);
    }

    /** Guards against a start that never ends when neither the platform nor a peer responds. */
    @Test
    public void startIsBoundedAndContinuesInTheBackground() {
        ConfigCluster cluster = new ConfigCluster(false);
        cluster.platform.setOutage(true);
        ConfigCluster.Node node = cluster.start(ConfigCluster.name(1));
        cluster.control.advance(3_000);
        assertTrue(node.started.isDone());
        cluster.platform.setOutage(false);
        cluster.control.advance(1_000);
        assertEquals(
                cluster.await(node.router.apply(ConfigCluster.policy("p", 1, 0, "id")))
                        .getRevision(),
                1);
    }

    /** Guards against a configuration that does not fit into one response of a peer. */
    @Test
    public void largeConfigurationArrivesInSeveralResponses() {
        ConfigCluster cluster = ConfigCluster.of(2);
        List<CompletableFuture<ApplyResponse>> calls = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            calls.add(cluster.node(1).router.apply(largeAccount(i)));
        }
        calls.forEach(cluster::await);
        cluster.settle();
        cluster.platform.setOutage(true);
        ConfigCluster.Node restarted = cluster.start(ConfigCluster.name(2));
        cluster.control.advance(200);
        assertEquals(restarted.router.revision(), 400);
        assertEquals(restarted.service().current().accounts().size(), 400);
    }

    /** Guards against changes that no router detects after all watchers of a region are lost. */
    @Test
    public void remainingRoutersTakeOverTheWatch() {
        ConfigCluster cluster = ConfigCluster.of(5);
        List<String> watchers = RouterRanking.watchers("region-1", cluster.nodes.keySet());
        watchers.forEach(cluster::stop);
        cluster.nodes
                .values()
                .forEach(node -> watchers.forEach(name -> node.membership.put(name, MemberState.DEAD, 9)));
        cluster.settle();
        List<String> remaining = List.copyOf(cluster.nodes.keySet());
        cluster.withoutGossip.addAll(remaining);
        cluster.await(cluster.nodes.get(remaining.get(0)).router.apply(ConfigCluster.policy("p", 1, 0, "id")));
        cluster.control.advance(100);
        List<String> newWatchers = RouterRanking.watchers("region-1", remaining);
        newWatchers.forEach(name -> assertEquals(cluster.nodes.get(name).deadlineOf("p"), 1, name));
        cluster.withoutGossip.clear();
        cluster.settle();
        cluster.nodes.values().forEach(node -> assertEquals(node.deadlineOf("p"), 1, node.name));
    }

    /**
     * Guards against an operator call that reports "in force everywhere" too early, or that never does when gossip does
     * not arrive.
     */
    @Test
    public void waitsUntilEachLiveRouterHasTheRevision() {
        ConfigCluster cluster = ConfigCluster.of(4);
        ApplyResponse reached = cluster.await(cluster.node(1).router.apply(waiting("p", 1)));
        assertTrue(reached.getInForceEverywhere());
        cluster.nodes.values().forEach(node -> assertEquals(node.deadlineOf("p"), 1, node.name));

        // Without gossip the router is queried directly; the query also announces the change to it.
        cluster.withoutGossip.add(ConfigCluster.name(4));
        ApplyResponse queried = cluster.await(cluster.node(1).router.apply(waiting("p", 2)));
        assertTrue(queried.getInForceEverywhere());
        assertEquals(cluster.node(4).deadlineOf("p"), 2);

        for (int i = 1; i <= 3; i++) {
            cluster.network.cut(ConfigCluster.name(i), ConfigCluster.name(4));
            cluster.network.cut(ConfigCluster.name(4), ConfigCluster.name(i));
        }
        ApplyResponse unreachable = cluster.await(cluster.node(1).router.apply(waiting("p", 3)));
        assertFalse(unreachable.getInForceEverywhere());
    }

    /** Guards against shard versions that are deleted while readers may need them, or never. */
    @Test
    public void replacedShardVersionsAreDeletedAfterTenMinutes() {
        ConfigCluster cluster = ConfigCluster.of(3);
        cluster.await(cluster.node(1).router.apply(ConfigCluster.policy("p", 1, -1, "id-1")));
        cluster.settle();
        String orphan = ShardLayout.shardKey(7, ShardLayout.versionFor(1, 1));
        cluster.await(cluster.platform.compareAndSet(orphan, 0, new byte[1]));
        String first = shardKeys(cluster).stream()
                .filter(key -> !key.equals(orphan))
                .findFirst()
                .orElseThrow();
        cluster.await(cluster.node(2).router.apply(ConfigCluster.policy("p", 2, -1, "id-2")));
        cluster.control.advance(590_000);
        assertTrue(shardKeys(cluster).contains(first));
        cluster.control.advance(60_000);
        assertFalse(shardKeys(cluster).contains(first));
        assertEquals(shardKeys(cluster).size(), 2);
        // The second of two sweeps finds a version that was never committed.
        cluster.control.advance(2 * 3_600_000);
        assertFalse(shardKeys(cluster).contains(orphan));
        assertEquals(shardKeys(cluster).size(), 1);
        ConfigCluster.Node restarted = cluster.start(ConfigCluster.name(1));
        cluster.settle();
        assertEquals(restarted.deadlineOf("p"), 2);
    }

    /** Guards against a start that fails because replaced versions make the listing too large. */
    @Test
    public void startReadsEachShardWhenTheListingFails() {
        ConfigCluster cluster = ConfigCluster.of(1);
        for (int i = 0; i < 100; i++) {
            cluster.await(cluster.node(1).router.apply(ConfigCluster.policy("p" + i, i + 1, 0, "id-" + i)));
        }
        cluster.stop(ConfigCluster.name(1));
        cluster.store.listingsFail = true;
        ConfigCluster.Node restarted = cluster.start(ConfigCluster.name(1));
        cluster.control.advance(400);
        assertEquals(restarted.router.revision(), 100);
    }

    /** Guards against a router that adopts a damaged shard. */
    @Test
    public void damagedShardIsRefusedAndFetchedFromAPeer() {
        ConfigCluster cluster = ConfigCluster.of(2);
        cluster.await(cluster.node(1).router.apply(ConfigCluster.policy("p", 1, 0, "id")));
        cluster.settle();
        KeyValue shard =
                cluster.await(cluster.platform.list(ShardLayout.SHARD_PREFIX)).get(0);
        byte[] damaged = shard.value().clone();
        damaged[damaged.length - 1] ^= 1;
        cluster.await(cluster.platform.compareAndSet(shard.key(), shard.revision(), damaged));
        cluster.network.cut(ConfigCluster.name(1), ConfigCluster.name(2));
        ConfigCluster.Node restarted = cluster.start(ConfigCluster.name(2));
        cluster.settle();
        assertEquals(restarted.router.revision(), 0);
        cluster.network.heal(ConfigCluster.name(1), ConfigCluster.name(2));
        cluster.settle();
        assertEquals(restarted.router.policy("p"), cluster.node(1).router.policy("p"));
        assertEquals(restarted.router.revision(), 1);
    }

    private static long millisUntilInForce(ConfigCluster cluster, long revision) {
        long start = cluster.control.monotonicMillis();
        while (cluster.control.monotonicMillis() - start <= MAX_IN_FORCE_MILLIS
                && cluster.nodes.values().stream().anyMatch(node -> node.router.revision() < revision)) {
            cluster.control.advance(1);
        }
        return cluster.control.monotonicMillis() - start;
    }

    private static List<String> shardKeys(ConfigCluster cluster) {
        return cluster.await(cluster.platform.list(ShardLayout.SHARD_PREFIX)).stream()
                .map(KeyValue::key)
                .toList();
    }

    private static ApplyRequest waiting(String name, int value) {
        return ConfigCluster.policy(name, value, -1, name + "-" + value).toBuilder()
                .setWaitMillis(4_000)
                .build();
    }

    private static ApplyRequest largeAccount(int index) {
        ClientAccountSpec.Builder spec = ClientAccountSpec.newBuilder().setWeight(1);
        for (int i = 0; i < 40; i++) {
            spec.addApiKeySha256(String.format(Locale.ROOT, "%064x", index * 40L + i));
        }
        ConfigObject object = ConfigObject.newBuilder()
                .setName("account-" + index)
                .setClientAccount(spec)
                .build();
        return ApplyRequest.newBuilder()
                .setObject(object)
                .setExpectedVersion(0)
                .setChangeId("account-" + index)
                .build();
    }
}
