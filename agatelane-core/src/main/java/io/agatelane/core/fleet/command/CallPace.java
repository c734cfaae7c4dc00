package io.agatelane.core.fleet.command;

/**
 * Calls that an upstream of a plain service takes relative to its slots, learned from the loads that it reports.
 *
 * <p>The routers see a call for longer than it occupies a slot, by the network time and the wait in the upstream's own
 * queue. When routers are not known to each other, their parts add up to more or less than the slots. Both show in the
 * upstream's reports: free slots raise the pace, a long queue lowers it. The increase is additive and the decrease
 * multiplicative, so that the paces of all routers converge.
 */
final class CallPace {
    // Share of the upstream's queue that is to be in use: enough to keep the slots busy, with room for the calls that
    // several routers happen to send at once. A longer queue is refused more often, a shorter one leaves slots unused.
    private static final double TARGET_QUEUE_SHARE = 0.26;
    // Longest queue, relative to the slots, that is made use of; in a longer one calls would lose their objective.
    private static final int MAX_QUEUE_FACTOR = 2;
    // Change of the pace per second when all slots are free, or when the queue is as long as the slots and its target.
    // A slower change leaves slots unused after each dip of the demand.
    private static final double GAIN_PER_SECOND = 1.5;
    // A report says nothing about a longer time before it.
    private static final long MAX_STEP_MILLIS = 300;
    private static final double REFUSAL_FACTOR = 0.95;
    private static final double MIN_PACE = 0.2;
    // Routers that are cut off from most others use their own part only; the others' may be unused.
    private static final double MAX_PACE = 4;
    private static final double MILLIS_PER_SECOND = 1_000;

    private double pace = 1;
    private int longestQueue;
    private long steppedMillis = Long.MIN_VALUE;
    private long fullMillis = Long.MIN_VALUE;

    /** Relation of the calls in flight to the slots; 1 is one call for each slot. */
    double value() {
        return pace;
    }

    /** Whether the upstream reports its load, which shows that it counts its slots. */
    boolean hasReported() {
        return steppedMillis != Long.MIN_VALUE;
    }

    /** Time at which the upstream last reported that it has no free slot; {@code Long.MIN_VALUE} when it has one. */
    long fullMillis() {
        return fullMillis;
    }

    /**
     * Records a load report.
     *
     * @param running requests that the upstream runs
     * @param waiting requests in the upstream's own queue, whose length is learned from the longest one seen
     * @param isLimiting whether the pace limits this router, without which it must not grow
     */
    void recordReport(int running, int waiting, int slots, boolean isLimiting, long nowMillis) {
        int requests = running + waiting;
        longestQueue = Math.max(longestQueue, Math.min(waiting, MAX_QUEUE_FACTOR * slots));
        fullMillis = requests >= slots ? nowMillis : Long.MIN_VALUE;
        long step = steppedMillis == Long.MIN_VALUE ? 0 : Math.min(MAX_STEP_MILLIS, nowMillis - steppedMillis);
        steppedMillis = nowMillis;
        double excess = requests - slots - TARGET_QUEUE_SHARE * longestQueue;
        double error = Math.max(-1, Math.min(1, -excess / Math.max(1, slots)));
        double change = error * GAIN_PER_SECOND * step / MILLIS_PER_SECOND;
        if (error > 0 && isLimiting) {
            pace = Math.min(MAX_PACE, pace + change);
        } else if (error < 0) {
            pace = Math.max(MIN_PACE, pace + pace * change);
        }
    }

    /** Records that the upstream has refused a call for lack of room. */
    void recordRefusal(long nowMillis) {
        fullMillis = nowMillis;
        pace = Math.max(MIN_PACE, pace * REFUSAL_FACTOR);
    }
}
