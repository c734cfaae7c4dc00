package io.agatelane.core.limits.query;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.model.RoutingPolicy;

/** Refuses requests whose first token would miss the deadline of their routing policy. */
public final class AdmissionCheck {
    // While requests are refused nothing new is observed, so an old observation must not prolong the refusals after the
    // queue that caused them has drained.
    private static final long MAX_SAMPLE_AGE_MILLIS = 1_000;
    private static final double MAX_LATENCY_FACTOR = 20;

    private static final long MIN_RETRY_MILLIS = 100;

    private AdmissionCheck() {}

    /** Returns the expected time to first token divided by the deadline; above 1 the request is refused. */
    public static double pressure(double totalMillis, RoutingPolicy policy) {
        return totalMillis / Math.max(1, policy.firstTokenDeadlineMillis());
    }

    /**
     * Corrects the expected time to first token by the latency that recent requests to the same engine had.
     *
     * <p>The expected time includes the prefills that this router has sent, but not those of other routers, which wait
     * inside the engine's slots and appear in no load report. At peak load it was too low by a factor of about nine.
     *
     * @param latencyFactor recent ratio of the observed to the expected time to first token
     * @param sampleAgeMillis time since the latency factor was last observed
     */
    public static double correctedMillis(double totalMillis, double latencyFactor, long sampleAgeMillis) {
        if (sampleAgeMillis > MAX_SAMPLE_AGE_MILLIS) {
            return totalMillis;
        }
        return totalMillis * Math.max(1, Math.min(MAX_LATENCY_FACTOR, latencyFactor));
    }

    /**
     * Checks that the best candidate can deliver the first token before the deadline.
     *
     * @param totalMillis expected time to first token on the best candidate
     * @throws AgatelaneException with {@code OVERLOADED} and the time after which the queue has drained enough to meet
     *     the deadline
     */
    public static void requireWithinDeadline(double totalMillis, RoutingPolicy policy) {
        if (pressure(totalMillis, policy) <= 1) {
            return;
        }
        long drainMillis = (long) Math.ceil(totalMillis - policy.firstTokenDeadlineMillis());
        throw new AgatelaneException(
                        FailureType.OVERLOADED,
                        "the first token is expected after " + Math.round(totalMillis)
                                + " ms, later than the deadline of " + policy.firstTokenDeadlineMillis() + " ms")
                .withRetryAfterMillis(Math.max(MIN_RETRY_MILLIS, drainMillis));
    }
}
