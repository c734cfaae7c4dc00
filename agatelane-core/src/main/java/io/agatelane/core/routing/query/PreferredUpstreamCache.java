package io.agatelane.core.routing.query;

import io.agatelane.core.routing.ModelFleet;

/**
 * Caches the preferred engines of recent prefixes, so that only new prefixes need a scan over the fleet. Bounded; used
 * by one thread at a time. A changed fleet has another generation, which invalidates the entries of the old one.
 */
final class PreferredUpstreamCache {
    private static final int ENTRIES = 1_024;

    private final Entry[] entries = new Entry[ENTRIES];
    // Scratch space; as long as the largest fleet so far, independent of the number of requests.
    private int[] weights = new int[0];

    PreferredUpstreamCache() {
        for (int i = 0; i < ENTRIES; i++) {
            entries[i] = new Entry();
        }
    }

    /** Returns the preferred engines of a prefix; valid until the next call with another prefix in the same entry. */
    Entry find(ModelFleet fleet, long key) {
        Entry entry = entries[(int) (key >>> 20) & (ENTRIES - 1)];
        if (entry.generation != fleet.generation() || entry.key != key) {
            entry.generation = fleet.generation();
            entry.key = key;
            if (weights.length < fleet.size()) {
                weights = new int[fleet.size()];
            }
            entry.count = fleet.findPreferred(key, entry.indexes, weights);
        }
        return entry;
    }

    /** The engines with the highest rendezvous weights for one prefix, highest first. */
    static final class Entry {
        private final int[] indexes = new int[EngineChooser.MAX_PREFERRED];
        // A number instead of a reference, so that old fleets can be garbage-collected.
        private long generation;
        private long key;
        private int count;

        int count() {
            return count;
        }

        int index(int position) {
            return indexes[position];
        }
    }
}
