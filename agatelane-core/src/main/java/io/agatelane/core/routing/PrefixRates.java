package io.agatelane.core.routing;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Recent request rates of prefixes on this router. Bounded: two prefixes with the same slot overwrite each other, which
 * only underestimates the rate of one.
 */
public final class PrefixRates {
    /** Time constant of the exponential decay of the rates. */
    public static final double DECAY_MILLIS = 5_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final AtomicLongArray digests;
    // Upper 32 bits: decayed count as float bits; lower 32 bits: time of the last request in milliseconds.
    private final AtomicLongArray counts;
    private final int mask;
    private final AtomicLong recorded = new AtomicLong();

    /** Creates a table with {@code 2^bits} slots. */
    public PrefixRates(int bits) {
        digests = new AtomicLongArray(1 << bits);
        counts = new AtomicLongArray(1 << bits);
        mask = (1 << bits) - 1;
    }

    /** Counts a request with a prefix. */
    public void record(long digest, long nowMillis) {
        int index = (int) digest & mask;
        double count = digests.get(index) == digest ? decayed(counts.get(index), nowMillis) : 0;
        long packed = ((long) Float.floatToIntBits((float) (count + 1)) << 32) | (nowMillis & 0xFFFFFFFFL);
        counts.set(index, packed);
        digests.set(index, digest);
        recorded.incrementAndGet();
    }

    /** Returns the number of calls of {@link #record} since the start. */
    public long recordedCount() {
        return recorded.get();
    }

    /** Returns the rate of requests with a prefix. */
    public double perSecond(long digest, long nowMillis) {
        int index = (int) digest & mask;
        if (digests.get(index) != digest) {
            return 0;
        }
        return decayed(counts.get(index), nowMillis) * MILLIS_PER_SECOND / DECAY_MILLIS;
    }

    private static double decayed(long packed, long nowMillis) {
        int elapsedMillis = (int) nowMillis - (int) packed;
        return Float.intBitsToFloat((int) (packed >>> 32)) * Math.exp(-Math.max(0, elapsedMillis) / DECAY_MILLIS);
    }
}
