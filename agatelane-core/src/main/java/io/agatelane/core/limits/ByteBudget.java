package io.agatelane.core.limits;

/**
 * Limits the bytes that a process holds for all of its requests together. Thread-safe.
 *
 * <p>A part of the budget is kept for small requests, so that a few large ones cannot keep them out.
 */
public final class ByteBudget {
    /** Largest request that may use the part of the budget that is kept for small ones. */
    public static final long MAX_SMALL_BYTES = 64 << 10;

    // One eighth holds hundreds of usual bodies and leaves most of the budget to large ones.
    private static final int SMALL_PART_DIVISOR = 8;
    // Assumed time until a request ends before any has ended.
    private static final double DEFAULT_HOLD_MILLIS = 1_000;
    // Weight of the newest request in the mean time for which requests are held.
    private static final double HOLD_WEIGHT = 0.1;
    private static final double MIN_RETRY_MILLIS = 100;
    private static final double MAX_RETRY_MILLIS = 5_000;
    // Refused requests come back between 0.5 and 1.5 of the mean hold time, not all at the same moment.
    private static final double MIN_SPREAD = 0.5;

    private final long totalBytes;
    private final long largeBytes;
    private long heldBytes;
    private double holdMillis = DEFAULT_HOLD_MILLIS;

    /** Creates a budget of which nothing is held. */
    public ByteBudget(long totalBytes) {
        this.totalBytes = totalBytes;
        this.largeBytes = totalBytes - totalBytes / SMALL_PART_DIVISOR;
    }

    /** Returns a reservation of no bytes yet, for one request. */
    public Reservation open() {
        return new Reservation();
    }

    /** Number of bytes that all requests hold. */
    public synchronized long heldBytes() {
        return heldBytes;
    }

    /** Number of bytes that may be held. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Largest number of bytes that a single request can hold. */
    public long maxRequestBytes() {
        return Math.max(largeBytes, Math.min(totalBytes, MAX_SMALL_BYTES));
    }

    /**
     * Returns the time after which a request that was refused may come back: about the time for which requests hold
     * their bytes.
     *
     * @param random from 0 to 1, different for each refusal
     */
    public synchronized long retryAfterMillis(double random) {
        double millis = holdMillis * (MIN_SPREAD + random);
        return Math.round(Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, millis)));
    }

    /** The bytes that one request holds. Thread-safe. */
    public final class Reservation {
        private long bytes;
        private long largestBytes;
        private long sinceMillis;
        private boolean released;

        private Reservation() {}

        /** Number of bytes held. */
        public long bytes() {
            synchronized (ByteBudget.this) {
                return bytes;
            }
        }

        /** Changes the number of bytes held. Returns false, and changes nothing, when the budget has no room for more. */
        public boolean tryResize(long newBytes, long nowMillis) {
            synchronized (ByteBudget.this) {
                long limit = newBytes <= MAX_SMALL_BYTES ? totalBytes : largeBytes;
                long newHeld = heldBytes - bytes + newBytes;
                if (released || (newBytes > bytes && newHeld > limit)) {
                    return false;
                }
                if (bytes == 0) {
                    sinceMillis = nowMillis;
                }
                heldBytes = newHeld;
                bytes = newBytes;
                largestBytes = Math.max(largestBytes, newBytes);
                return true;
            }
        }

        /** Gives all bytes back; nothing can be reserved afterwards. Further calls have no effect. */
        public void release(long nowMillis) {
            synchronized (ByteBudget.this) {
                // Small requests hardly change the time at which there is room again.
                if (bytes > 0 && largestBytes > MAX_SMALL_BYTES) {
                    holdMillis += HOLD_WEIGHT * (Math.max(0, nowMillis - sinceMillis) - holdMillis);
                }
                heldBytes -= bytes;
                bytes = 0;
                released = true;
            }
        }
    }
}
