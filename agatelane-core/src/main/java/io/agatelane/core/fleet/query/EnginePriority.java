package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.PrefillBacklog;
import io.agatelane.core.fleet.Prompt;
import java.util.OptionalInt;

/**
 * The order in which engines admit requests.
 *
 * <p>Answers head-of-line blocking: a short prompt that fits into one piece of prefill goes ahead of long ones of the
 * same rank, which it delays by some milliseconds; behind them it would wait for hundreds.
 */
public final class EnginePriority {
    // Engines read prompts in pieces of this size.
    private static final int SHORT_PROMPT_TOKENS = 1_024;
    private static final int RANKS_PER_PRIORITY = 2;

    private EnginePriority() {}

    /**
     * The priority to state, 0 (first) to 9.
     *
     * @param accountPriority goes before the route's
     */
    public static int of(OptionalInt accountPriority, int routePriority, Prompt prompt) {
        int base = accountPriority.orElse(routePriority);
        int rank = prompt.inputTokens() <= SHORT_PROMPT_TOKENS ? 0 : 1;
        return Math.max(0, Math.min(PrefillBacklog.PRIORITIES - 1, base * RANKS_PER_PRIORITY + rank));
    }
}
