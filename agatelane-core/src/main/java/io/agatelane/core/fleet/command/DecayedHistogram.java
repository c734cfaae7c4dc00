package io.agatelane.core.fleet.command;

/**
 * Distribution of positive values, of which earlier ones count less. Not thread-safe.
 *
 * <p>The bounds of the buckets grow by a quarter, so that quantiles are exact to an eighth, from 1 to about 100,000.
 */
final class DecayedHistogram {
    private static final double GROWTH = 1.25;
    private static final int BUCKETS = 52;

    private final double[] weights = new double[BUCKETS];
    private final double decay;
    private double total;

    /**
     * Creates an empty distribution.
     *
     * @param decay factor by which each value reduces the weight of the earlier ones
     */
    DecayedHistogram(double decay) {
        this.decay = decay;
    }

    void record(double value, double weight) {
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            weights[bucket] *= decay;
        }
        int bucket = (int) Math.round(Math.log(Math.max(1, value)) / Math.log(GROWTH));
        weights[Math.min(BUCKETS - 1, bucket)] += weight;
        total = total * decay + weight;
    }

    /** Returns the sum of the weights of all values, decayed. */
    double weight() {
        return total;
    }

    /**
     * Returns a quantile; 0 without values.
     *
     * @param fraction 0 to 1
     */
    double quantile(double fraction) {
        double remaining = total * fraction;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            remaining -= weights[bucket];
            if (remaining <= 0 && weights[bucket] > 0) {
                return Math.pow(GROWTH, bucket);
            }
        }
        return 0;
    }
}
