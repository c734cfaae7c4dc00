package io.agatelane.core.routing;

import io.agatelane.core.hash.Rendezvous;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Bounded table of prefixes that are probably in an engine's cache. The key combines engine, incarnation and prefix
 * digest. The digest includes the cache salt, so that a hint does not match another account, other weights or a
 * restarted engine. Two keys with the same slot overwrite each other, which only loses a hint.
 */
public final class HintTable {
    private static final long NO_ENGINE = 0;
    // An entry is one 64-bit word, so that a lookup costs one cache miss: 40 bits of the key and 24 bits of time in
    // units of 16 ms, which wraps after 74 hours.
    private static final int TIME_BITS = 24;
    private static final long TIME_MASK = (1L << TIME_BITS) - 1;
    private static final int TIME_UNIT_SHIFT = 4;

    private final AtomicLongArray entries;
    // The engine that last received a prefix, by digest; adds engines to the candidates that are not preferred for it.
    private final AtomicLongArray lastDigests;
    private final AtomicLongArray lastEngineHashes;
    private final int mask;

    /** Creates a table of {@code 2^bits} entries. */
    public HintTable(int bits) {
        entries = new AtomicLongArray(1 << bits);
        lastDigests = new AtomicLongArray(1 << bits);
        lastEngineHashes = new AtomicLongArray(1 << bits);
        mask = (1 << bits) - 1;
    }

    /** Returns the key of one incarnation of an engine. */
    public static long engineKey(long nodeHash, String incarnation) {
        return Rendezvous.weight(nodeHash, Rendezvous.hash(incarnation));
    }

    /** Records that an engine had a prefix in its cache at a time. */
    public void put(long nodeHash, long engineKey, long digest, long nowMillis) {
        int slot = (int) digest & mask;
        lastEngineHashes.set(slot, nodeHash);
        lastDigests.set(slot, digest);
        long key = Rendezvous.weight(engineKey, digest);
        entries.set((int) key & mask, (key & ~TIME_MASK) | ((nowMillis >> TIME_UNIT_SHIFT) & TIME_MASK));
    }

    /** Removes the hint that an engine has a prefix. */
    public void remove(long engineKey, long digest) {
        long key = Rendezvous.weight(engineKey, digest);
        int index = (int) key & mask;
        long entry = entries.get(index);
        if (((entry ^ key) & ~TIME_MASK) == 0) {
            entries.compareAndSet(index, entry, 0);
        }
    }

    /** Returns the node hash of the engine that last received a prefix; 0 when unknown. */
    public long lastEngineHash(long digest) {
        int slot = (int) digest & mask;
        return lastDigests.get(slot) == digest ? lastEngineHashes.get(slot) : NO_ENGINE;
    }

    /** Returns the age of a hint in milliseconds, in steps of 16; -1 when there is no hint. */
    public long ageMillis(long engineKey, long digest, long nowMillis) {
        long key = Rendezvous.weight(engineKey, digest);
        long entry = entries.get((int) key & mask);
        if (((entry ^ key) & ~TIME_MASK) != 0) {
            return -1;
        }
        return (((nowMillis >> TIME_UNIT_SHIFT) - entry) & TIME_MASK) << TIME_UNIT_SHIFT;
    }
}
