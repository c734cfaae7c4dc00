package io.agatelane.core.config.command;

import io.agatelane.core.config.ConfigState;
import io.agatelane.core.config.Head;
import io.agatelane.core.config.Shard;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Collects the shards that are needed to move from a state to a newer head. Not thread-safe. */
public final class ShardAssembly {
    private final ConfigState base;
    private final Head head;
    private final Map<Integer, Shard> collected = new TreeMap<>();

    public ShardAssembly(ConfigState base, Head head) {
        this.base = base;
        this.head = head;
    }

    public Head head() {
        return head;
    }

    /** Returns the indices of the shards that are still needed. */
    public List<Integer> missing() {
        return base.missingShards(head).stream()
                .filter(index -> head.shardVersions().get(index) != 0)
                .filter(index -> !collected.containsKey(index))
                .toList();
    }

    /**
     * Adds a shard if the head lists it.
     *
     * @param checksum checksum of the bytes from which the shard was decoded
     * @return false when the head does not list this version with this checksum
     */
    public boolean offer(Shard shard, long checksum) {
        int index = shard.index();
        if (index < 0 || index >= head.shardVersions().size()) {
            return false;
        }
        boolean listed = head.shardVersions().get(index) == shard.version()
                && head.shardChecksums().get(index) == checksum;
        if (listed) {
            collected.put(index, shard);
        }
        return listed;
    }

    /** Returns the shards added so far. */
    public List<Shard> collected() {
        return List.copyOf(collected.values());
    }

    /**
     * Returns the state at the head.
     *
     * @throws IllegalArgumentException when shards are missing
     */
    public ConfigState result() {
        return base.advance(head, collected.values());
    }
}
