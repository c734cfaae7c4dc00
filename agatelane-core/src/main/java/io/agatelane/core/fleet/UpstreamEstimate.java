package io.agatelane.core.fleet;

/**
 * Estimated load of an upstream at one moment.
 *
 * @param requests number of requests of all routers, running or queued
 * @param backlog prefill work of requests whose response has not started yet
 * @param durationPercent duration of work relative to its normal duration; 100 is normal, 200 takes twice as long
 * @param oldestUnansweredMillis age of the oldest request whose response has not started yet
 * @param failures exponentially decayed number of recent failures
 * @param memoryTokens tokens that the requests of all routers occupy in the memory of an engine
 * @param remainingMillis expected time, at normal speed, of the work of all requests that is not done yet; 0 when unknown
 */
public record UpstreamEstimate(
        double requests,
        PrefillBacklog backlog,
        double durationPercent,
        long oldestUnansweredMillis,
        double failures,
        long memoryTokens,
        double remainingMillis) {
    /** The estimate for an upstream without any observed load. */
    public static final UpstreamEstimate IDLE = new UpstreamEstimate(0, PrefillBacklog.EMPTY, 100, 0, 0, 0, 0);

    /** Creates an estimate without a known amount of remaining work. */
    public UpstreamEstimate(
            double requests,
            PrefillBacklog backlog,
            double durationPercent,
            long oldestUnansweredMillis,
            double failures,
            long memoryTokens) {
        this(requests, backlog, durationPercent, oldestUnansweredMillis, failures, memoryTokens, 0);
    }

    /**
     * Returns the expected time until a slot is free for one more request, at normal speed.
     *
     * @param slots number of requests that the upstream runs at the same time, at least 1
     */
    public double slotWaitMillis(int slots) {
        double excess = Math.max(0, requests + 1 - slots);
        return excess / slots * occupancyMillis(slots);
    }

    // Running requests are in the middle of their work on average, queued ones have all of it before them.
    private double occupancyMillis(int slots) {
        double queued = Math.max(0, requests - slots);
        double running = requests - queued;
        return remainingMillis > 0 && running > 0
                ? remainingMillis / (running / 2 + queued)
                : RequestWork.ASSUMED_OUTPUT_MILLIS;
    }
}
