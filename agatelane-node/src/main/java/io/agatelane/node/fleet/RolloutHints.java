package io.agatelane.node.fleet;

import java.util.Map;
import java.util.Set;

/**
 * What the holder of the roll-out lease announces to the other routers by gossip, ahead of the record in the store.
 *
 * @param reserved hashes of the keys of upstreams that are about to load weights
 * @param loaded version that an upstream has loaded, by model
 */
public record RolloutHints(Set<Long> reserved, Map<ModelOnUpstream, Long> loaded) {
    /** The hints of a router that does not hold the roll-out lease. */
    public static final RolloutHints NONE = new RolloutHints(Set.of(), Map.of());

    public RolloutHints {
        reserved = Set.copyOf(reserved);
        loaded = Map.copyOf(loaded);
    }
}
