package io.agatelane.node.io.platform;

/** Token bucket that limits the rate of platform calls and admits a burst of one second. */
final class CallBudget {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final long intervalMicros;
    // Time at which the bucket will be full again; each call moves it one interval later.
    private long fullAtMicros = Long.MIN_VALUE;

    CallBudget(int callsPerSecond) {
        this.intervalMicros = Math.max(1, MICROS_PER_SECOND / callsPerSecond);
    }

    /** Takes a token and returns the time to wait before the call, or takes none and returns -1 if that is too long. */
    synchronized long reserveMillis(long nowMillis, long maxWaitMillis) {
        long nowMicros = nowMillis * MICROS_PER_MILLI;
        long fullAt = Math.max(fullAtMicros, nowMicros);
        long waitMicros = fullAt + intervalMicros - MICROS_PER_SECOND - nowMicros;
        long waitMillis = waitMicros <= 0 ? 0 : (waitMicros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
        if (waitMillis > maxWaitMillis) {
            return -1;
        }
        fullAtMicros = fullAt + intervalMicros;
        return waitMillis;
    }
}
