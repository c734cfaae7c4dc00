package io.agatelane.core.fleet.query;

import java.util.OptionalLong;

/**
 * Refuses prompts that would wait too long in the queue of every engine.
 *
 * <p>Answers bursts above the capacity of the engines: a queue that is longer than the latency objective makes every
 * request late, a short one keeps those that are taken in time. Only waiting counts, not the prompt's own prefill, so
 * large prompts are refused no more often than small ones.
 */
public final class QueueRule {
    // Part of the objective that may pass in the queue; the rest is for the prompt itself and the way.
    private static final double QUEUE_SHARE = 0.8;
    // An engine's queue changes only from one request to the next.
    private static final long MIN_RETRY_MILLIS = 150;

    private QueueRule() {}

    /**
     * When a refused caller should come back.
     *
     * @param choice the best upstream for the request
     * @param objectiveMillis latency objective of its route; 0 when it has none
     * @return empty when the request is taken
     */
    public static OptionalLong retryAfterMillis(Choice choice, long objectiveMillis) {
        double excess = choice.queueMillis() - objectiveMillis * QUEUE_SHARE;
        if (objectiveMillis <= 0 || excess <= 0) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.max(MIN_RETRY_MILLIS, Math.round(excess)));
    }
}
