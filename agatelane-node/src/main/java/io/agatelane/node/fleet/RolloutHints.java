package io.agatelane.node.fleet;

import java.util.Map;
import java.util.Set;

/**
 * What the holder of the roll-out lease announces to the other routers by gossip, ahead of the record in the store.
 *
 * @param reserved hashes of the keys of upstreams that are about to load weights
 * @param loaded hash of an upstream's key to the version that it has loaded
 */
public record RolloutHints(Set<Long> reserved, Map<Long, Long> loaded) {
    /** The hints of a router that does not hold the roll-out lease. */
    public static final RolloutHints NONE = new RolloutHints(Set.of(), Map.of());

    public RolloutHints {
        reserved = Set.copyOf(reserved);
        loaded = Map.copyOf(loaded);
    }
}
