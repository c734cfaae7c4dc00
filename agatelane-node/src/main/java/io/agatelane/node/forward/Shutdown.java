package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;

/**
 * How far the stop of the router has come, as its requests see it. Thread-safe.
 *
 * <p>Until {@link #refuse} new requests are passed on if they can be finished before the process ends.
 */
public final class Shutdown {
    // The caller's next connection goes to another router, so it may retry at once.
    private static final long RETRY_MILLIS = 10;
    // A shorter time is not worth an attempt: a round trip between zones and the fastest response.
    private static final double MIN_REQUEST_MILLIS = 15;

    private volatile long lastAnswerMillis = Long.MAX_VALUE;
    private volatile boolean refusing;

    /**
     * Begins the stop: responses close their connections from now on.
     *
     * @param millis monotonic time at which the last requests get their final response
     */
    public void begin(long millis) {
        lastAnswerMillis = millis;
    }

    /** Refuses new requests from now on. */
    public void refuse() {
        refusing = true;
    }

    /** Whether the router is stopping. */
    boolean hasBegun() {
        return lastAnswerMillis < Long.MAX_VALUE;
    }

    /** Whether new requests are refused because the process ends before many of them could be finished. */
    public boolean isRefusing() {
        return refusing;
    }

    /** Returns a deadline that is no later than the final response of the last requests. */
    long limit(long deadlineMillis) {
        return Math.min(deadlineMillis, lastAnswerMillis);
    }

    /**
     * Checks that a request which no upstream has got yet can be finished before the process ends.
     *
     * @param expectedMillis time that the request takes
     * @throws AgatelaneException with {@code SHUTTING_DOWN} when it probably cannot
     */
    void check(double expectedMillis, long nowMillis) {
        if (Math.max(expectedMillis, MIN_REQUEST_MILLIS) > lastAnswerMillis - nowMillis) {
            throw refusal();
        }
    }

    /** Returns the refusal of a request that was not passed on. */
    static AgatelaneException refusal() {
        return new AgatelaneException(FailureType.SHUTTING_DOWN, "this router is shutting down")
                .withRetryAfterMillis(RETRY_MILLIS);
    }
}
