package io.agatelane.core.fleet;

/**
 * Load that another router causes and observes at an upstream.
 *
 * @param upstream hash of the upstream's key
 * @param backlog prefill work of requests whose response has not started yet
 * @param oldestUnansweredMillis age of the oldest request whose response has not started yet
 * @param failures exponentially decayed number of recent failures
 * @param memoryTokens tokens that the requests in flight occupy in the memory of an engine
 * @param remainingMillis expected time, at normal speed, of the work of the requests in flight that is not done yet
 * @param pace what the router has observed of the upstream's speed
 */
public record PeerLoad(
        long upstream,
        int inFlight,
        PrefillBacklog backlog,
        int oldestUnansweredMillis,
        double failures,
        long memoryTokens,
        double remainingMillis,
        UpstreamPace pace) {
    /** Creates a load of an upstream whose remaining work and speed are not known. */
    public PeerLoad(
            long upstream,
            int inFlight,
            PrefillBacklog backlog,
            int oldestUnansweredMillis,
            double failures,
            long memoryTokens) {
        this(upstream, inFlight, backlog, oldestUnansweredMillis, failures, memoryTokens, 0, UpstreamPace.UNKNOWN);
    }

    /** Returns the same load at a later time. */
    public PeerLoad olderBy(long addedMillis) {
        return new PeerLoad(
                upstream,
                inFlight,
                backlog,
                oldestUnansweredMillis,
                failures,
                memoryTokens,
                remainingMillis,
                new UpstreamPace(pace.evidence(), pace.slowness().older(addedMillis)));
    }

    /** Returns the difference of two loads, with no count below 0. */
    public PeerLoad minus(PeerLoad subtracted) {
        return new PeerLoad(
                upstream,
                Math.max(0, inFlight - subtracted.inFlight()),
                backlog.minus(subtracted.backlog()),
                oldestUnansweredMillis,
                Math.max(0, failures - subtracted.failures()),
                Math.max(0, memoryTokens - subtracted.memoryTokens()),
                Math.max(0, remainingMillis - subtracted.remainingMillis()),
                pace.minus(subtracted.pace()));
    }
}
