package io.agatelane.core.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.config.command.HeadRelation;
import io.agatelane.core.config.command.MonotonicConfig;
import io.agatelane.core.config.command.ShardAssembly;
import io.agatelane.core.config.query.RouterRanking;
import io.agatelane.core.model.RoutingPolicy;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class MonotonicConfigTest {
    /** Guards against a router that returns to an older configuration after the platform was restored. */
    @Test
    public void rejectsOlderStates() {
        ConfigState old = states(3);
        ConfigState current = states(5);
        MonotonicConfig monotonicConfig = new MonotonicConfig();
        assertTrue(monotonicConfig.advance(current));
        assertEquals(monotonicConfig.assess(old.head()), HeadRelation.REGRESSED);
        assertEquals(monotonicConfig.assess(Head.empty()), HeadRelation.REGRESSED);
        assertEquals(monotonicConfig.assess(current.head()), HeadRelation.CURRENT);
        assertEquals(monotonicConfig.assess(states(6).head()), HeadRelation.NEWER);
        assertFalse(monotonicConfig.advance(old));
        assertEquals(monotonicConfig.state().revision(), 5);
    }

    /** Guards against adopting a higher revision that lacks changes the router has, made after a platform restore. */
    @Test
    public void rejectsADivergedHistory() {
        MonotonicConfig monotonicConfig = new MonotonicConfig();
        monotonicConfig.advance(states(5));
        ConfigState other = states(3);
        for (int i = 0; i < 4; i++) {
            other = change(other, "other-" + i);
            assertEquals(monotonicConfig.assess(other.head()), HeadRelation.DIVERGED, "revision " + other.revision());
        }
    }

    /** Guards against an incomplete list of changes when a peer sent only the changes since a revision. */
    @Test
    public void missingChangesAreAddedFromTheOlderHead() {
        Head whole = states(700).head();
        Head older = states(650).head();
        assertEquals(whole.recentChanges().size(), Head.MAX_RECENT_CHANGES);
        assertEquals(whole.withChangesSince(650).recentChanges().size(), 51);
        assertEquals(whole.withChangesSince(650).withOlderChanges(older), whole);
    }

    /** Guards against adding shards that the head does not list, and against a state with a missing shard. */
    @Test
    public void assemblyTakesOnlyListedShards() {
        ConfigState base = states(1);
        ConfigState next = change(base, "next");
        ShardAssembly assembly = new ShardAssembly(base, next.head());
        int index = assembly.missing().get(0);
        Shard shard = next.shard(index);
        assertFalse(assembly.offer(new Shard(index, shard.version() + 1, shard.objects()), 0));
        assertFalse(assembly.offer(shard, 1));
        assertEquals(assembly.missing(), List.of(index));
        assertTrue(assembly.offer(shard, 0));
        assertEquals(assembly.result().head(), next.head());
    }

    /** Guards against two writers of the same revision that overwrite each other's shard under one key. */
    @Test
    public void shardVersionsDifferBetweenAttemptsAndKeepTheRevision() {
        assertNotEquals(ShardLayout.versionFor(9, 1), ShardLayout.versionFor(9, 2));
        assertEquals(ShardLayout.revisionOf(ShardLayout.versionFor(9, -1)), 9);
    }

    /** Guards against shards of very different sizes: with 13,000 names the largest must stay below 1 MB. */
    @Test
    public void namesSpreadOverTheShards() {
        Map<Integer, Integer> counts = new HashMap<>();
        IntStream.range(0, 13_000)
                .forEach(i -> counts.merge(
                        ShardLayout.shardOf(new ObjectKey(ObjectKind.CLIENT_ACCOUNT, "account-" + i)),
                        1,
                        Integer::sum));
        assertEquals(counts.size(), ShardLayout.SHARDS);
        assertTrue(counts.values().stream().allMatch(count -> count < 2 * 13_000 / ShardLayout.SHARDS));
    }

    /** Guards against replacing all watchers when one router leaves, and against a region without a watcher. */
    @Test
    public void watchersAreStableWhenOthersLeave() {
        Set<String> names = new HashSet<>();
        IntStream.range(0, 50).forEach(i -> names.add("entry-" + i));
        List<String> before = RouterRanking.watchers("ch-nord", names);
        assertEquals(before.size(), RouterRanking.WATCHERS_PER_REGION);
        for (String name : Set.copyOf(names)) {
            Set<String> rest = new HashSet<>(names);
            rest.remove(name);
            List<String> after = RouterRanking.watchers("ch-nord", rest);
            long unchanged = before.stream().filter(after::contains).count();
            assertEquals(unchanged, before.contains(name) ? 1 : 2, name);
        }
        assertEquals(RouterRanking.watchers("ch-nord", List.of("only")), List.of("only"));
    }

    private static ConfigState states(int count) {
        ConfigState state = ConfigState.empty();
        for (int i = 0; i < count; i++) {
            state = change(state, "id-" + i);
        }
        return state;
    }

    private static ConfigState change(ConfigState state, String id) {
        long revision = state.revision() + 1;
        ObjectKey key = new ObjectKey(ObjectKind.ROUTING_POLICY, "p" + revision % 5);
        int index = ShardLayout.shardOf(key);
        long version = ShardLayout.versionFor(revision, 0);
        RoutingPolicy value = new RoutingPolicy(key.name(), (int) revision, 1, 1, 0, 0);
        Shard shard = state.shard(index).with(new StoredObject(key, revision, value), version);
        Head head = state.head().withChange(new Change(id, revision, key), index, version, 0);
        return state.advance(head, List.of(shard));
    }
}
