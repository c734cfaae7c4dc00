package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.Interference;

/**
 * Estimates how long a prompt waits for the prefill of less urgent prompts at its engine. Thread-safe.
 *
 * <p>An engine prefills prompts in pieces, and how much of the work in progress a more urgent prompt overtakes depends
 * on the engine. The estimate is the delay of the first token per millisecond of such work, as it was known when the
 * engine was chosen, so that it also covers work which ended in the meantime.
 */
public final class PrefillInterference {
    // Each observation reduces the weight of the earlier ones, so that a few hundred requests determine the estimate.
    private static final double DECAY = 0.997;
    // The assumed share counts for this many observations at this amount of work.
    private static final double INITIAL_WEIGHT = 20;
    private static final double INITIAL_WORK_MILLIS = 100;
    // Less work is within the noise of the network and of a step.
    private static final double MIN_WORK_MILLIS = 20;
    // A longer delay than the work itself has another reason.
    private static final double MAX_SHARE = 1;

    private double squaredSum = INITIAL_WEIGHT * INITIAL_WORK_MILLIS * INITIAL_WORK_MILLIS;
    private double productSum = squaredSum * Interference.ASSUMED_SHARE;

    /**
     * Records the response to a prompt.
     *
     * @param workMillis prefill work of less urgent prompts at the engine
     * @param delayMillis time to the first token, at normal speed, beyond what was expected without that work
     */
    public synchronized void record(double workMillis, double delayMillis) {
        if (workMillis < MIN_WORK_MILLIS) {
            return;
        }
        double delay = Math.max(0, Math.min(workMillis * MAX_SHARE, delayMillis));
        squaredSum = squaredSum * DECAY + workMillis * workMillis;
        productSum = productSum * DECAY + workMillis * delay;
    }

    /** Returns the expected delay per millisecond of less urgent work, 0 to 1. */
    public synchronized double share() {
        return productSum / squaredSum;
    }
}
