package io.agatelane.core.config.command;

import io.agatelane.core.config.ConfigState;
import io.agatelane.core.config.ShardLayout;
import io.agatelane.core.config.query.ShardUse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides which stored shard versions to delete. A replaced version is retained for 10 minutes, because a reader may
 * still use the head that lists it. Not thread-safe.
 */
public final class ShardRetention {
    /** Time from the replacement of a version to its deletion, and the shortest time between two sweeps. */
    public static final long RETENTION_MILLIS = 600_000;

    private final ArrayDeque<Replaced> replaced = new ArrayDeque<>();
    private Set<String> unusedAtPreviousSweep = new HashSet<>();

    /** Records the versions that a new state no longer uses. */
    public void recordReplaced(ConfigState before, ConfigState after, long nowMillis) {
        for (int i = 0; i < ShardLayout.SHARDS; i++) {
            long version = before.shard(i).version();
            if (version != 0 && version != after.shard(i).version()) {
                replaced.add(new Replaced(ShardLayout.shardKey(i, version), nowMillis));
            }
        }
    }

    /** Removes and returns the store keys of versions whose retention time has ended. */
    public List<String> takeExpired(long nowMillis) {
        List<String> deletable = new ArrayList<>();
        while (!replaced.isEmpty() && nowMillis - replaced.peek().replacedMillis >= RETENTION_MILLIS) {
            deletable.add(replaced.poll().key);
        }
        return deletable;
    }

    /**
     * Returns the listed keys that were unused both in this sweep and in the previous one. The time between two sweeps
     * must be at least {@link #RETENTION_MILLIS}.
     */
    public List<String> sweep(ConfigState state, Collection<String> listedKeys) {
        Set<String> unused = new HashSet<>();
        listedKeys.stream().filter(key -> ShardUse.isUnused(state, key)).forEach(unused::add);
        List<String> deletable =
                unused.stream().filter(unusedAtPreviousSweep::contains).sorted().toList();
        unusedAtPreviousSweep = unused;
        return deletable;
    }

    /** Discards the result of the previous sweep. Called when another router performs the sweeps. */
    public void skipSweep() {
        unusedAtPreviousSweep = new HashSet<>();
    }

    private record Replaced(String key, long replacedMillis) {}
}
