package io.agatelane.core.fleet.query;

import java.util.OptionalLong;

/**
 * Refuses prompts that would wait too long in the queue of every engine.
 *
 * <p>Protects against bursts above the capacity of the engines: a queue that is longer than the latency objective makes
 * every request late, while a short queue lets the accepted requests meet the objective. Large prompts, whose own
 * prefill takes much of the objective, are still accepted into a queue of half the objective; otherwise they would be
 * refused whenever any request is queued.
 */
public final class QueueLimit {
    // Share of the objective for the queue and the prompt's own prefill; the rest is for the network.
    private static final double OBJECTIVE_SHARE = 0.9;
    private static final double MIN_QUEUE_SHARE = 0.5;

    private QueueLimit() {}

    /**
     * Returns the time after which a refused caller should retry: when the present queue has been processed.
     *
     * @param choice the best upstream for the request
     * @param objectiveMillis latency objective of the route; 0 when it has none
     * @return empty when the request is accepted
     */
    public static OptionalLong retryAfterMillis(UpstreamChoice choice, long objectiveMillis) {
        double limit =
                Math.max(objectiveMillis * MIN_QUEUE_SHARE, objectiveMillis * OBJECTIVE_SHARE - choice.prefillMillis());
        if (objectiveMillis <= 0 || choice.queueMillis() <= limit) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.round(choice.queueMillis()));
    }
}
