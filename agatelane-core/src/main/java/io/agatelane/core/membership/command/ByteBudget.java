package io.agatelane.core.membership.command;

/** Token bucket that limits the sent bytes; one token is one byte. */
final class ByteBudget {
    /** Priority of a packet: the part of the bucket that it must leave to packets of higher priority. */
    enum Priority {
        /** Probes and acknowledgements may empty the bucket: a missing one looks like a failure of this member. */
        PROBE(0),
        GOSSIP(4),
        TABLE(8),
        HINT(2);

        /** The reserved part is the burst divided by this; 0 reserves nothing. */
        private final int reservedDivisor;

        Priority(int reservedDivisor) {
            this.reservedDivisor = reservedDivisor;
        }
    }

    private final int bytesPerSecond;
    private final int burstBytes;
    private double tokens;
    private long refilledMillis = Long.MIN_VALUE;

    ByteBudget(int bytesPerSecond, int burstBytes) {
        this.bytesPerSecond = bytesPerSecond;
        this.burstBytes = burstBytes;
        this.tokens = burstBytes;
    }

    /** Returns the bytes that may be sent now at a priority; negative when less than the reserved part is left. */
    int available(Priority priority, long nowMillis) {
        refill(nowMillis);
        int reserved = priority.reservedDivisor == 0 ? 0 : burstBytes / priority.reservedDivisor;
        return (int) tokens - reserved;
    }

    /** Takes tokens if that many are available at the priority. Returns false and takes none otherwise. */
    boolean tryTake(int bytes, Priority priority, long nowMillis) {
        if (available(priority, nowMillis) < bytes) {
            return false;
        }
        tokens -= bytes;
        return true;
    }

    private void refill(long nowMillis) {
        if (refilledMillis != Long.MIN_VALUE && nowMillis > refilledMillis) {
            tokens = Math.min(burstBytes, tokens + (nowMillis - refilledMillis) * bytesPerSecond / 1_000.0);
        }
        refilledMillis = Math.max(refilledMillis, nowMillis);
    }
}
