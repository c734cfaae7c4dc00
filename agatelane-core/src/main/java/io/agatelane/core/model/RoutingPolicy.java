package io.agatelane.core.model;

/**
 * Routing limits of a model or a client account.
 *
 * @param firstTokenDeadlineMillis requests that cannot get a first token within this time are refused
 * @param longRequestMillis requests with a longer expected service time count as long
 * @param longSharePercent largest percentage of an upstream's slots that long requests may occupy
 * @param hedgePercent largest percentage of requests that may be hedged
 * @param retryPercent largest percentage of requests that may be retried
 */
public record RoutingPolicy(
        String name,
        int firstTokenDeadlineMillis,
        int longRequestMillis,
        int longSharePercent,
        int hedgePercent,
        int retryPercent) {
    /** Used where neither the client account nor the model names a policy. */
    public static final RoutingPolicy DEFAULT = new RoutingPolicy("default", 10_000, 4_000, 50, 5, 10);
}
