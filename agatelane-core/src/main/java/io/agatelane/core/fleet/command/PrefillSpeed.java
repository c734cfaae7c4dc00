package io.agatelane.core.fleet.command;

/**
 * Estimates how many prompt tokens the engines of a service prefill per millisecond. Thread-safe.
 *
 * <p>Engines differ in speed and in the size of the pieces in which they prefill a prompt, and report neither. The
 * estimate is the slope of the time to the first byte over the number of prefilled tokens, from requests that did not
 * queue; the intercept absorbs the network and the first decoding step.
 */
public final class PrefillSpeed {
    // Each observation reduces the weight of the earlier ones, so that a few hundred requests determine the estimate.
    private static final double DECAY = 0.997;
    // Observations that the initial speed counts for, half of them at no tokens and half at the reference size.
    private static final double INITIAL_WEIGHT = 40;
    private static final double REFERENCE_TOKENS = 10_000;
    // Prompts in a busy step or with a lost cache entry distort the slope, but not by more than this factor.
    private static final double MAX_FACTOR = 3;

    private final double initialTokensPerMilli;
    private double weight;
    private double tokensSum;
    private double millisSum;
    private double tokensSquaredSum;
    private double productSum;

    /**
     * Creates an estimate without observations.
     *
     * @param initialTokensPerMilli assumed speed
     */
    public PrefillSpeed(double initialTokensPerMilli) {
        this.initialTokensPerMilli = initialTokensPerMilli;
        add(INITIAL_WEIGHT / 2, 0, 0);
        add(INITIAL_WEIGHT / 2, REFERENCE_TOKENS, REFERENCE_TOKENS / initialTokensPerMilli);
    }

    /**
     * Records the response to a request that did not queue.
     *
     * @param tokens tokens that the engine had to prefill
     * @param millis time from sending the request to the first byte of the response
     */
    public synchronized void record(double tokens, double millis) {
        weight *= DECAY;
        tokensSum *= DECAY;
        millisSum *= DECAY;
        tokensSquaredSum *= DECAY;
        productSum *= DECAY;
        add(1, tokens, millis);
    }

    private void add(double observations, double tokens, double millis) {
        weight += observations;
        tokensSum += observations * tokens;
        millisSum += observations * millis;
        tokensSquaredSum += observations * tokens * tokens;
        productSum += observations * tokens * millis;
    }

    /** Returns the estimated speed, in tokens per millisecond. */
    public synchronized double tokensPerMilli() {
        double variance = weight * tokensSquaredSum - tokensSum * tokensSum;
        double covariance = weight * productSum - tokensSum * millisSum;
        double slowest = initialTokensPerMilli / MAX_FACTOR;
        double fastest = initialTokensPerMilli * MAX_FACTOR;
        if (variance <= 0 || covariance <= 0) {
            return initialTokensPerMilli;
        }
        return Math.max(slowest, Math.min(fastest, variance / covariance));
    }
}
