package io.agatelane.node.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.MemberState;
import io.agatelane.wire.operator.ApplyResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that a router restarts without the platform (invariant I3) and that accepted configuration changes are neither
 * lost nor reverted (I9). Each check must also fail on {@link NaiveConfigService}, which has no protection.
 */
public class ConfigInvariantsTest {
    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    /** Guards against accepted changes that a concurrent change overwrites (invariant I9). */
    @Test(dataProvider = "seeds")
    public void concurrentChangesAreNotLost(long seed) {
        assertEquals(findLostChanges(seed, false), List.of());
    }

    /** Shows that the check for concurrent changes detects lost ones. */
    @Test(dataProvider = "seeds")
    public void naiveVersionLosesConcurrentChanges(long seed) {
        assertFalse(findLostChanges(seed, true).isEmpty());
    }

    /** Guards against a return to an earlier configuration after the platform was restored (invariant I9). */
    @Test
    public void restoredPlatformRevertsNothing() {
        assertEquals(findRevertedChanges(false), List.of());
    }

    /** Shows that the check after a restore detects reverted changes. */
    @Test
    public void naiveVersionRevertsAfterRestore() {
        assertFalse(findRevertedChanges(true).isEmpty());
    }

    /**
     * Guards against a router without configuration after a restart while the platform is unavailable (invariant
     * I3).
     */
    @Test
    public void restartDuringOutageServesAtOnce() {
        assertEquals(findRoutersWithoutConfig(false), List.of());
    }

    /** Shows that the check after a restart detects a router without configuration. */
    @Test
    public void naiveVersionStartsEmptyDuringOutage() {
        assertFalse(findRoutersWithoutConfig(true).isEmpty());
    }

    /**
     * Guards against a change on top of a restored older state by a router that knows from gossip that a newer state
     * exists (invariant I9).
     */
    @Test
    public void freshRouterDoesNotContinueARestoredState() {
        ConfigCluster cluster = restoredWithFreshRouter();
        AgatelaneException failure =
                cluster.failure(cluster.node(3).router.apply(ConfigCluster.policy("c", 9, -1, "c")));
        assertEquals(failure.type(), FailureType.PLATFORM_UNAVAILABLE);
        cluster.network.heal(ConfigCluster.name(3), ConfigCluster.name(1));
        cluster.network.heal(ConfigCluster.name(1), ConfigCluster.name(3));
        cluster.settle();
        cluster.await(cluster.node(3).router.apply(ConfigCluster.policy("c", 9, -1, "c")));
        cluster.settle();
        for (ConfigCluster.Node node : cluster.nodes.values()) {
            assertEquals(node.router.revision(), 4, node.name);
            assertEquals(node.deadlineOf("a"), 2, node.name);
        }
    }

    /** Guards against routers that adopt another history of changes because its revision is higher (invariant I9). */
    @Test
    public void routersRefuseAContinuedRestoredState() {
        ConfigCluster cluster = restoredWithFreshRouter();
        // Without gossip the fresh router cannot know that the platform was restored.
        cluster.start(ConfigCluster.name(3));
        cluster.withoutGossip.add(ConfigCluster.name(3));
        cluster.control.advance(1);
        cluster.node(3).membership.put(ConfigCluster.name(1), MemberState.DEAD, 9);
        cluster.node(3).membership.put(ConfigCluster.name(2), MemberState.DEAD, 9);
        cluster.control.advance(400);
        for (int i = 0; i < 5; i++) {
            cluster.await(cluster.node(3).router.apply(ConfigCluster.policy("c", 9 + i, -1, "c-" + i)));
            cluster.settle();
            assertEquals(cluster.node(1).router.revision(), 3);
            assertEquals(cluster.node(2).deadlineOf("a"), 2);
        }
        AgatelaneException failure =
                cluster.failure(cluster.node(1).router.apply(ConfigCluster.policy("d", 1, -1, "d")));
        assertEquals(failure.type(), FailureType.CONFIG_DIVERGED);
    }

    // Routers 1 and 2 have revision 3, the platform has revision 1; router 3 started from the platform and reaches no
    // peer.
    private static ConfigCluster restoredWithFreshRouter() {
        ConfigCluster cluster = ConfigCluster.of(2);
        apply(cluster, 1, "a", 1);
        Map<String, KeyValue> backup = cluster.platform.backup();
        apply(cluster, 1, "a", 2);
        apply(cluster, 1, "b", 3);
        cluster.settle();
        cluster.platform.restore(backup);
        for (int i = 1; i <= 2; i++) {
            cluster.network.cut(ConfigCluster.name(3), ConfigCluster.name(i));
            cluster.network.cut(ConfigCluster.name(i), ConfigCluster.name(3));
        }
        cluster.start(ConfigCluster.name(3));
        cluster.settle();
        return cluster;
    }

    private static List<String> findLostChanges(long seed, boolean naive) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        ConfigCluster cluster = ConfigCluster.of(5, naive);
        Map<String, Map<Long, Integer>> accepted = new HashMap<>();
        Set<Long> revisions = new HashSet<>();
        List<String> violations = new ArrayList<>();
        List<CompletableFuture<ApplyResponse>> calls = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            String name = "policy-" + random.nextInt(12);
            int value = i + 1;
            CompletableFuture<ApplyResponse> call = cluster.node(1 + random.nextInt(5))
                    .router
                    .apply(ConfigCluster.policy(name, value, -1, "change-" + i));
            calls.add(call.whenComplete((response, failure) -> {
                if (failure == null) {
                    accepted.computeIfAbsent(name, key -> new HashMap<>()).put(response.getRevision(), value);
                    if (!revisions.add(response.getRevision())) {
                        violations.add("revision " + response.getRevision() + " was assigned twice");
                    }
                }
            }));
            cluster.control.advance(random.nextInt(6));
        }
        calls.forEach(cluster::await);
        cluster.settle();
        for (ConfigCluster.Node node : cluster.nodes.values()) {
            accepted.forEach((name, values) -> {
                int newest =
                        values.get(values.keySet().stream().max(Long::compare).orElseThrow());
                if (node.deadlineOf(name) != newest) {
                    violations.add(node.name + " has another " + name + " than the newest accepted one");
                }
            });
        }
        return violations;
    }

    private static List<String> findRevertedChanges(boolean naive) {
        ConfigCluster cluster = ConfigCluster.of(4, naive);
        List<String> violations = new ArrayList<>();
        apply(cluster, 1, "a", 1);
        Map<String, KeyValue> backup = cluster.platform.backup();
        apply(cluster, 2, "a", 2);
        apply(cluster, 3, "b", 3);
        cluster.settle();
        cluster.platform.restore(backup);
        cluster.settle();

        cluster.await(cluster.node(4).router.apply(ConfigCluster.policy("c", 4, -1, "c1")));
        cluster.start(ConfigCluster.name(2));
        cluster.settle();
        for (ConfigCluster.Node node : cluster.nodes.values()) {
            if (node.deadlineOf("a") != 2 || node.deadlineOf("b") != 3 || node.deadlineOf("c") != 4) {
                violations.add(node.name + " reverted an accepted change");
            }
        }
        return violations;
    }

    private static List<String> findRoutersWithoutConfig(boolean naive) {
        ConfigCluster cluster = ConfigCluster.of(3, naive);
        apply(cluster, 1, "a", 1);
        cluster.settle();
        cluster.platform.setOutage(true);
        List<String> violations = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            ConfigCluster.Node node = cluster.start(ConfigCluster.name(i));
            // A start from a peer takes one round trip; invariant I3 allows no wait for the platform.
            cluster.control.advance(20);
            if (!node.started.isDone() || node.deadlineOf("a") != 1) {
                violations.add(node.name + " has no configuration");
            }
        }
        return violations;
    }

    private static void apply(ConfigCluster cluster, int router, String name, int value) {
        cluster.await(cluster.node(router).router.apply(ConfigCluster.policy(name, value, -1, name + "-" + value)));
    }
}
