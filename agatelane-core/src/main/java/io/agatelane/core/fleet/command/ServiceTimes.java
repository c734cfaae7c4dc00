package io.agatelane.core.fleet.command;

/** Typical duration of one kind of work at the upstreams of a service, learned from observations. Thread-safe. */
public final class ServiceTimes {
    private static final double DECAY = 0.99;
    // Observations that the assumed duration counts for.
    private static final double INITIAL_WEIGHT = 5;
    private static final double HIGH_QUANTILE = 0.95;

    // Keeps durations of a tenth of a millisecond within the range of the histogram.
    private static final double SCALE = 10;

    private final DecayedHistogram scaled = new DecayedHistogram(DECAY);

    /**
     * Creates an estimate without observations.
     *
     * @param assumedMillis duration before any was observed
     */
    public ServiceTimes(double assumedMillis) {
        scaled.record(assumedMillis * SCALE, INITIAL_WEIGHT);
    }

    /** Records the duration of work that did not wait. */
    public synchronized void record(double millis) {
        scaled.record(millis * SCALE, 1);
    }

    /** Returns a duration that nineteen of twenty did not exceed. */
    public synchronized double highMillis() {
        return scaled.quantile(HIGH_QUANTILE) / SCALE;
    }

    /** Returns the median duration. */
    public synchronized double millis() {
        return scaled.quantile(0.5) / SCALE;
    }
}
