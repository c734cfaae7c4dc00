package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.PrefillBacklog;
import io.agatelane.core.fleet.Prompt;
import java.util.OptionalInt;

/**
 * Computes the priority with which engines admit requests.
 *
 * <p>Prevents head-of-line blocking: a short prompt that fits into one prefill chunk is admitted before long prompts of
 * the same priority. It delays those by a few milliseconds; behind them it would wait for hundreds.
 */
public final class EnginePriority {
    // Engines prefill prompts in chunks of this size.
    private static final int SHORT_PROMPT_TOKENS = 1_024;
    private static final int RANKS_PER_PRIORITY = 2;

    private EnginePriority() {}

    /**
     * Returns the priority to send to the engine, 0 (first) to 9.
     *
     * @param accountPriority overrides the route's priority
     */
    public static int of(OptionalInt accountPriority, int routePriority, Prompt prompt) {
        int base = accountPriority.orElse(routePriority);
        int rank = prompt.inputTokens() <= SHORT_PROMPT_TOKENS ? 0 : 1;
        return Math.max(0, Math.min(PrefillBacklog.PRIORITIES - 1, base * RANKS_PER_PRIORITY + rank));
    }
}
