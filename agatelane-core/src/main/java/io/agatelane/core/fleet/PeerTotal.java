package io.agatelane.core.fleet;

/**
 * Sum of the loads that all other routers report for an upstream.
 *
 * @param backlog prefill work of requests whose response has not started yet
 * @param confirmedUnansweredMillis second longest of the routers' ages of their oldest unanswered request, so that a
 *     single router which is cut off from the upstream does not count
 * @param memoryTokens tokens that the requests in flight occupy in the memory of an engine
 * @param remainingMillis expected time, at normal speed, of the work of the requests in flight that is not done yet
 * @param pace what the routers have observed of the upstream's speed
 */
public record PeerTotal(
        double inFlight,
        PrefillBacklog backlog,
        int confirmedUnansweredMillis,
        double failures,
        long memoryTokens,
        double remainingMillis,
        UpstreamPace pace) {
    /** The total when no other router has reported any load. */
    public static final PeerTotal NONE = new PeerTotal(0, PrefillBacklog.EMPTY, 0, 0, 0, 0, UpstreamPace.UNKNOWN);

    /**
     * Returns a total between this one and a mean of earlier ones.
     *
     * @param weight weight of this total, 0 to 1
     */
    public PeerTotal towards(Mean mean, double weight) {
        return new PeerTotal(
                inFlight * weight + mean.inFlight() * (1 - weight),
                backlog.times(weight).plus(mean.backlog().times(1 - weight)),
                confirmedUnansweredMillis,
                failures,
                memoryTokens,
                remainingMillis * weight + mean.remainingMillis() * (1 - weight),
                pace);
    }

    /** Mean over some time of the values that change with each request. */
    public record Mean(double inFlight, PrefillBacklog backlog, double remainingMillis) {
        /** The mean of no requests. */
        public static final Mean NONE = new Mean(0, PrefillBacklog.EMPTY, 0);

        /** Returns the mean with a share of a newer total. */
        public Mean with(PeerTotal newer, double share) {
            return new Mean(
                    inFlight * (1 - share) + newer.inFlight * share,
                    backlog.times(1 - share).plus(newer.backlog.times(share)),
                    remainingMillis * (1 - share) + newer.remainingMillis * share);
        }
    }
}
