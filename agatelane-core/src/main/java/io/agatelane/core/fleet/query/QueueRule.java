package io.agatelane.core.fleet.query;

import java.util.OptionalLong;

/**
 * Refuses prompts that would wait too long in the queue of every engine.
 *
 * <p>Answers bursts above the capacity of the engines: a queue that is longer than the latency objective makes every
 * request late, a short one keeps those that are taken in time. Large prompts, whose own prefill takes much of the
 * objective, are still taken into a queue of half of it; otherwise they would be refused whenever anything waits.
 */
public final class QueueRule {
    // Part of the objective that the queue and the prompt's own prefill may take; the rest is for the way.
    private static final double OBJECTIVE_SHARE = 0.9;
    private static final double MIN_QUEUE_SHARE = 0.5;

    private QueueRule() {}

    /**
     * When a refused caller should come back: when what waits now has been read.
     *
     * @param choice the best upstream for the request
     * @param objectiveMillis latency objective of its route; 0 when it has none
     * @return empty when the request is taken
     */
    public static OptionalLong retryAfterMillis(Choice choice, long objectiveMillis) {
        double limit =
                Math.max(objectiveMillis * MIN_QUEUE_SHARE, objectiveMillis * OBJECTIVE_SHARE - choice.prefillMillis());
        if (objectiveMillis <= 0 || choice.queueMillis() <= limit) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.round(choice.queueMillis()));
    }
}
