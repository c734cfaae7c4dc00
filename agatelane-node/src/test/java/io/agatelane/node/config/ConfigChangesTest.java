package io.agatelane.node.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.config.ConflictException;
import io.agatelane.core.config.ShardLayout;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.Executed;
import io.agatelane.core.failure.FailureType;
import io.agatelane.wire.operator.ApplyRequest;
import io.agatelane.wire.operator.ConfigObject;
import io.agatelane.wire.operator.DeleteRequest;
import io.agatelane.wire.operator.GetRequest;
import io.agatelane.wire.operator.Kind;
import io.agatelane.wire.operator.ListRequest;
import io.agatelane.wire.operator.ModelSpec;
import io.agatelane.wire.operator.SetDrainingRequest;
import io.agatelane.wire.operator.UpstreamSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigChangesTest {
    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{11L}, {12L}, {13L}};
    }

    /** Guards against two concurrent operator calls that both report the creation of the same object. */
    @Test
    public void oneOfTwoCreatorsLosesWithTheActualVersion() {
        ConfigCluster cluster = ConfigCluster.of(2);
        CompletableFuture<?> first = cluster.node(1).router.apply(ConfigCluster.policy("p", 1, 0, "first"));
        CompletableFuture<?> second = cluster.node(2).router.apply(ConfigCluster.policy("p", 2, 0, "second"));
        AgatelaneException one = cluster.failure(first);
        AgatelaneException other = cluster.failure(second);
        AgatelaneException lost = one instanceof ConflictException ? one : other;
        assertNotEquals(one.getClass(), other.getClass());
        assertTrue(lost instanceof ConflictException, lost.toString());
        assertEquals(((ConflictException) lost).expectedVersion(), 0);
        assertEquals(((ConflictException) lost).actualVersion(), 1);
    }

    /**
     * Guards against a change that is applied twice, or reported as failed, because the response of the platform was
     * lost.
     */
    @Test(dataProvider = "seeds")
    public void lostResponsesApplyEachChangeOnce(long seed) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        ConfigCluster cluster = ConfigCluster.of(3);
        List<ApplyRequest> requests = new ArrayList<>();
        List<Long> revisions = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            ApplyRequest request = ConfigCluster.policy("p" + random.nextInt(8), i + 1, -1, "id-" + i);
            cluster.platform.loseResponses(random.nextInt(4));
            requests.add(request);
            revisions.add(
                    cluster.await(cluster.node(1 + random.nextInt(3)).router.apply(request))
                            .getRevision());
            assertEquals(revisions.get(i).longValue(), i + 1);
        }
        cluster.platform.loseResponses(0);
        for (int i = 0; i < requests.size(); i++) {
            long repeated = cluster.await(
                            cluster.node(1 + random.nextInt(3)).router.apply(requests.get(i)))
                    .getRevision();
            assertEquals(repeated, revisions.get(i).longValue());
        }
        assertEquals(cluster.node(1).router.revision(), requests.size());
    }

    /** Guards against an unknown outcome that is reported as "not done" (invariant I5), or applied twice on a retry. */
    @Test
    public void lostResponseFollowedByOutageIsUnknownUntilRepeated() {
        ConfigCluster cluster = ConfigCluster.of(2);
        ApplyRequest request = ConfigCluster.policy("p", 1, 0, "id");
        CompletableFuture<?> call = cluster.node(1).router.apply(request);
        // Platform calls take 4 ms each: the read of the head, the write of the shard, and half of the write of the
        // head.
        cluster.control.advance(9);
        cluster.platform.loseResponses(1);
        cluster.control.advance(2);
        cluster.platform.setOutage(true);
        AgatelaneException failure = cluster.failure(call);
        assertEquals(failure.type(), FailureType.WRITE_OUTCOME_UNKNOWN);
        assertEquals(failure.executed(), Executed.UNKNOWN);
        cluster.platform.setOutage(false);
        assertEquals(cluster.await(cluster.node(2).router.apply(request)).getRevision(), 1);
        assertEquals(cluster.node(2).router.revision(), 1);
    }

    /** Guards against a written shard that was never committed and blocks all later changes of that shard. */
    @Test
    public void uncommittedShardBlocksNoLaterChange() {
        ConfigCluster cluster = ConfigCluster.of(2);
        CompletableFuture<?> call = cluster.node(1).router.apply(ConfigCluster.policy("p", 1, 0, "a"));
        // Platform calls take 4 ms each: the read of the head, and the write of the shard, which takes effect after
        // half that time.
        cluster.control.advance(7);
        cluster.platform.setOutage(true);
        AgatelaneException failure = cluster.failure(call);
        assertEquals(failure.type(), FailureType.PLATFORM_UNAVAILABLE);
        cluster.platform.setOutage(false);
        assertEquals(
                cluster.await(cluster.platform.list(ShardLayout.SHARD_PREFIX)).size(), 1);
        cluster.await(cluster.node(2).router.apply(ConfigCluster.policy("p", 2, 0, "b")));
        assertEquals(cluster.node(2).deadlineOf("p"), 2);
    }

    /** Guards against changes that hang, or are reported as accepted, during an outage of the platform. */
    @Test
    public void outageRefusesChangesAndPreservesTheConfiguration() {
        ConfigCluster cluster = ConfigCluster.of(3);
        cluster.await(cluster.node(1).router.apply(ConfigCluster.policy("p", 1, 0, "a")));
        cluster.settle();
        cluster.platform.setOutage(true);
        AgatelaneException failure =
                cluster.failure(cluster.node(2).router.apply(ConfigCluster.policy("p", 2, -1, "b")));
        assertEquals(failure.type(), FailureType.PLATFORM_UNAVAILABLE);
        assertEquals(failure.executed(), Executed.NO);
        cluster.control.advance(3_600_000);
        cluster.nodes.values().forEach(node -> assertEquals(node.deadlineOf("p"), 1));
        cluster.platform.setOutage(false);
        cluster.await(cluster.node(2).router.apply(ConfigCluster.policy("p", 2, -1, "b")));
        cluster.settle();
        cluster.nodes.values().forEach(node -> assertEquals(node.deadlineOf("p"), 2));
    }

    /** Guards against a reused change identity, which would make a different change look like a repeat. */
    @Test
    public void changeIdentityBelongsToOneObject() {
        ConfigCluster cluster = ConfigCluster.of(1);
        cluster.await(cluster.node(1).router.apply(ConfigCluster.policy("p", 1, 0, "id")));
        AgatelaneException reused =
                cluster.failure(cluster.node(1).router.apply(ConfigCluster.policy("q", 1, 0, "id")));
        assertEquals(reused.type(), FailureType.INVALID_OBJECT);
        assertEquals(reused.location(), "/change_id");
        AgatelaneException missing = cluster.failure(cluster.node(1).router.apply(ConfigCluster.policy("q", 1, 0, "")));
        assertEquals(missing.location(), "/change_id");
    }

    /** Guards against draining that resets other fields of the upstream, and against references to missing objects. */
    @Test
    public void drainingPreservesOtherFieldsAndReferencesAreChecked() {
        ConfigCluster cluster = ConfigCluster.of(2);
        ConfigObject model = ConfigObject.newBuilder()
                .setName("m")
                .setModel(ModelSpec.newBuilder()
                        .setWeightsVersion("w1")
                        .setMaxContextTokens(1_000)
                        .setDefaultMaxTokens(100))
                .build();
        ConfigObject upstream = ConfigObject.newBuilder()
                .setName("e")
                .setUpstream(UpstreamSpec.newBuilder()
                        .setBaseUrl("http://127.0.0.1:9000")
                        .setAvailabilityZone("zone-a")
                        .addModels("m")
                        .setSlots(4))
                .build();
        ConfigService service = cluster.node(1).service();
        AgatelaneException dangling = cluster.failure(service.apply(request(upstream, "1")));
        assertEquals(dangling.type(), FailureType.INVALID_OBJECT);
        assertEquals(dangling.location(), "/upstream/models/0");
        cluster.await(service.apply(request(model, "2")));
        cluster.await(service.apply(request(upstream, "3")));
        cluster.await(cluster.node(2)
                .service()
                .setDraining(SetDrainingRequest.newBuilder()
                        .setUpstream("e")
                        .setDraining(true)
                        .setChangeId("4")
                        .build()));
        GetRequest get =
                GetRequest.newBuilder().setKind(Kind.UPSTREAM).setName("e").build();
        ConfigObject drained = cluster.node(2).service().get(get).getObject();
        assertEquals(
                drained.getUpstream(),
                upstream.getUpstream().toBuilder().setDraining(true).build());
        AgatelaneException used = cluster.failure(service.delete(DeleteRequest.newBuilder()
                .setKind(Kind.MODEL)
                .setName("m")
                .setExpectedVersion(-1)
                .setChangeId("5")
                .build()));
        assertEquals(used.location(), "/upstream/e");
    }

    /** Compares the service with a plain map under lost responses and repeated changes, whichever router is called. */
    @Test(dataProvider = "seeds")
    public void behavesLikeAMap(long seed) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        ConfigCluster cluster = ConfigCluster.of(4);
        ReferenceModel reference = new ReferenceModel();
        for (int i = 0; i < 250; i++) {
            ConfigService service = cluster.node(1 + random.nextInt(4)).service();
            String name = "p" + random.nextInt(6);
            String id = random.nextInt(10) == 0 && i > 0 ? name + "-" + random.nextInt(i) : name + "-" + i;
            long[] expected = {-1, 0, reference.version(name), reference.version(name) - 1};
            long version = Math.max(-1, expected[random.nextInt(expected.length)]);
            cluster.platform.loseResponses(random.nextInt(10) == 0 ? 1 : 0);
            String expectedOutcome;
            String actual;
            if (random.nextInt(4) == 0) {
                expectedOutcome = reference.change(name, -1, version, id);
                actual = outcome(
                        cluster,
                        service.delete(DeleteRequest.newBuilder()
                                .setKind(Kind.ROUTING_POLICY)
                                .setName(name)
                                .setExpectedVersion(version)
                                .setChangeId(id)
                                .build()));
            } else {
                expectedOutcome = reference.change(name, i + 1, version, id);
                actual = outcome(cluster, service.apply(ConfigCluster.policy(name, i + 1, version, id)));
            }
            assertEquals(actual, expectedOutcome, "operation " + i);
            cluster.control.advance(2 * ConfigCluster.GOSSIP_MILLIS);
            ConfigService reader = cluster.node(1 + random.nextInt(4)).service();
            assertEquals(contents(reader), reference.contents(), "after operation " + i);
        }
    }

    private static String outcome(ConfigCluster cluster, CompletableFuture<?> call) {
        try {
            Object response = cluster.await(call);
            // Whether the revision is in force everywhere depends on gossip, which the map does not have.
            return response.toString().replaceAll("in_force_everywhere: true|\\s", "");
        } catch (RuntimeException e) {
            return AgatelaneException.from(e).type().name();
        }
    }

    private static Map<String, String> contents(ConfigService service) {
        Map<String, String> result = new TreeMap<>();
        service.list(ListRequest.newBuilder().setKind(Kind.ROUTING_POLICY).build())
                .getObjectsList()
                .forEach(object -> result.put(
                        object.getName(),
                        object.getVersion() + "=" + object.getRoutingPolicy().getFirstTokenDeadlineMillis()));
        return result;
    }

    private static ApplyRequest request(ConfigObject object, String changeId) {
        return ApplyRequest.newBuilder()
                .setObject(object)
                .setExpectedVersion(0)
                .setChangeId(changeId)
                .build();
    }

    /** Reference model: one map in one process. */
    private static final class ReferenceModel {
        private final Map<String, Long> versions = new HashMap<>();
        private final Map<String, Integer> values = new TreeMap<>();
        private final Map<String, Long> accepted = new HashMap<>();
        private long revision;

        private long version(String name) {
            return versions.getOrDefault(name, 0L);
        }

        private String change(String name, int value, long expected, String id) {
            if (accepted.containsKey(id)) {
                return "revision:" + accepted.get(id);
            }
            if (expected != -1 && expected != version(name)) {
                return FailureType.CONFLICT.name();
            }
            if (value < 0 && !values.containsKey(name)) {
                return FailureType.NOT_FOUND.name();
            }
            revision++;
            accepted.put(id, revision);
            if (value < 0) {
                values.remove(name);
                versions.remove(name);
            } else {
                values.put(name, value);
                versions.put(name, revision);
            }
            return "revision:" + revision;
        }

        private Map<String, String> contents() {
            Map<String, String> result = new TreeMap<>();
            values.forEach((name, value) -> result.put(name, versions.get(name) + "=" + value));
            return result;
        }
    }
}
