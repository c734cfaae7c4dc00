package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.PrefillBacklog;
import io.agatelane.core.fleet.PriorityLevels;
import java.util.OptionalInt;

/**
 * Computes the priority with which engines admit requests.
 *
 * <p>Answers a load of urgent and less urgent prompts of the same accounts: the less urgent ones wait, however short they
 * are. Prevents head-of-line blocking: among prompts of the same urgency, those whose prefill takes only a small share of
 * their latency objective are admitted before the others. They delay those by a few milliseconds; behind them they would
 * wait for hundreds.
 */
public final class EnginePriority {
    // A prompt is short when its prefill takes at most this share of its objective.
    private static final double SHORT_PROMPT_SHARE = 0.06;
    private static final int RANKS_PER_LEVEL = 2;

    private EnginePriority() {}

    /**
     * Returns the priority to send to the engine, 0 (first) to 9.
     *
     * @param levels urgency of the requests of the deployment; more levels than engines distinguish are joined
     * @param accountPriority empty when the account has none
     * @param prefillMillis expected duration of the prefill of the whole prompt
     * @param objectiveMillis latency objective of the route; 0 when it has none, then no prompt counts as short
     */
    public static int of(
            PriorityLevels levels,
            OptionalInt accountPriority,
            int routePriority,
            double prefillMillis,
            long objectiveMillis) {
        int rank = prefillMillis <= objectiveMillis * SHORT_PROMPT_SHARE ? 0 : 1;
        int position = levels.level(accountPriority, routePriority) * RANKS_PER_LEVEL + rank;
        int positions = levels.count() * RANKS_PER_LEVEL;
        int joined =
                positions > PrefillBacklog.PRIORITIES ? position * PrefillBacklog.PRIORITIES / positions : position;
        return Math.min(PrefillBacklog.PRIORITIES - 1, joined);
    }
}
