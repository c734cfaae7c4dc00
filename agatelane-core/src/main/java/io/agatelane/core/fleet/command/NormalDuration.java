package io.agatelane.core.fleet.command;

/**
 * Ratio of the observed to the expected time of the responses to one kind of request, over all upstreams of a zone.
 * Thread-safe.
 *
 * <p>The expectation may be too low or too high as a whole, because it rests on configured values and contains no network
 * between zones. Only what an upstream takes longer or shorter than the others is its own speed.
 */
public final class NormalDuration {
    // About the last hundred responses count.
    private static final double DECAY = 0.99;
    // Assumed responses with the expected time. Few, so that the first responses after a start do not all seem slow.
    private static final double INITIAL_WEIGHT = 3;
    private static final double MAX_LOG = Math.log(10);
    // Time that the network and a step of an engine may add to each response; a response that was expected within less
    // says little about speed.
    private static final double NOISE_MILLIS = 10;

    private double weight = INITIAL_WEIGHT;
    private double logSum;

    /**
     * A comparison of one response with the expectation.
     *
     * @param factor observed by normal time
     * @param weight 0 to 1; how much the response says about the speed of its upstream
     */
    public record Sample(double factor, double weight) {}

    /**
     * Records a response.
     *
     * @param observedMillis time from sending the request to the response
     * @param expectedMillis expected time on an upstream of normal speed
     * @return how the response compares with those of all upstreams
     */
    public synchronized Sample record(double observedMillis, double expectedMillis) {
        double expected = Math.max(0, expectedMillis);
        double log = Math.log((Math.max(0, observedMillis) + NOISE_MILLIS) / (expected + NOISE_MILLIS));
        double clamped = Math.max(-MAX_LOG, Math.min(MAX_LOG, log));
        double usual = logSum / weight;
        double sampleWeight = expected / (expected + NOISE_MILLIS);
        weight = weight * DECAY + sampleWeight;
        logSum = logSum * DECAY + clamped * sampleWeight;
        return new Sample(Math.exp(clamped - usual), sampleWeight);
    }

    /** Returns the usual ratio of observed to expected time. */
    public synchronized double factor() {
        return Math.exp(logSum / weight);
    }
}
