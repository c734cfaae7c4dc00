package io.agatelane.core.fleet;

/**
 * Sum of the loads that all other routers report for an upstream.
 *
 * @param backlog prefill work of requests whose response has not started yet
 * @param confirmedUnansweredMillis second longest of the routers' ages of their oldest unanswered request, so that a
 *     single router which is cut off from the upstream does not count
 * @param memoryTokens tokens that the requests in flight occupy in the memory of an engine
 * @param pace what the routers have observed of the upstream's speed
 */
public record PeerTotal(
        int inFlight,
        PrefillBacklog backlog,
        int confirmedUnansweredMillis,
        double failures,
        long memoryTokens,
        UpstreamPace pace) {
    /** The total when no other router has reported any load. */
    public static final PeerTotal NONE = new PeerTotal(0, PrefillBacklog.EMPTY, 0, 0, 0, UpstreamPace.UNKNOWN);
}
