package io.agatelane.core.fleet;

/**
 * The load of an upstream at one moment.
 *
 * @param requests requests of all routers, running or waiting
 * @param backlog prefill work of requests that have no answer yet
 * @param speedPercent how long work takes; 100 is as usual
 * @param oldestUnansweredMillis age of the oldest request without an answer
 * @param failures recent failures, faded with time
 */
public record UpstreamEstimate(
        double requests, PrefillBacklog backlog, double speedPercent, long oldestUnansweredMillis, double failures) {
    /** Nothing is known of the upstream. */
    public static final UpstreamEstimate IDLE = new UpstreamEstimate(0, PrefillBacklog.EMPTY, 100, 0, 0);
}
