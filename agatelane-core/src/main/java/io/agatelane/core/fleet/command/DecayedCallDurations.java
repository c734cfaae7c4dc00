package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.CallDurations;

/** Exponentially decayed mean and 0.9 quantile of call durations. Thread-safe. */
public final class DecayedCallDurations implements CallDurations {
    // Weight of the newest call: some tens of calls determine the estimate.
    private static final double NEWEST_WEIGHT = 0.05;
    // The assumed duration counts as much as this many calls, so that the first responses replace it.
    private static final double INITIAL_CALLS = 2;
    private static final double QUANTILE = 0.9;
    // Step of the quantile, as a share of the mean; larger steps would make it follow single calls.
    private static final double QUANTILE_STEP = 0.1;
    // A single call of a minute must not make the service look unusable.
    private static final double MAX_FACTOR = 10;

    private double calls = INITIAL_CALLS;
    private double mean;
    private double high;

    /**
     * Creates an estimate without calls.
     *
     * @param assumedMillis duration before any call has ended, greater than 0
     */
    public DecayedCallDurations(double assumedMillis) {
        mean = assumedMillis;
        high = assumedMillis;
    }

    @Override
    public synchronized void record(double millis) {
        double bounded = Math.max(1, Math.min(millis, mean * MAX_FACTOR));
        calls++;
        mean += Math.max(NEWEST_WEIGHT, 1 / calls) * (bounded - mean);
        high += QUANTILE_STEP * mean * (bounded > high ? QUANTILE : QUANTILE - 1);
        high = Math.max(high, mean);
    }

    @Override
    public synchronized double meanMillis() {
        return mean;
    }

    @Override
    public synchronized double highMillis() {
        return high;
    }
}
