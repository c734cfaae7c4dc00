package io.agatelane.lab.platform;

/** Limits the calls in each window of one second. */
final class RateLimiter {
    private long windowStartMillis;
    private int calls;

    /** Counts a call and returns whether it is within the limit of its window; a limit of 0 allows every call. */
    synchronized boolean tryAcquire(long nowMillis, int limit) {
        if (nowMillis - windowStartMillis >= 1_000) {
            windowStartMillis = nowMillis;
            calls = 0;
        }
        calls++;
        return limit == 0 || calls <= limit;
    }
}
