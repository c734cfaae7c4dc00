package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.EngineProfile;
import io.agatelane.core.fleet.Prompt;

/**
 * Decides whether an engine has memory and a slot for a prompt.
 *
 * <p>Protects against bursts of long prompts. An engine whose memory is full preempts running requests and prefills
 * them again later, so that all of its requests become slow, short ones included. Long prompts leave a part of the
 * memory and of the slots free for short ones, which need little of both.
 */
public final class EngineRoom {
    private static final double LONG_PROMPT_SHARE = 0.8;
    private static final double LONG_PROMPT_SLOT_SHARE = 0.9;
    // A prompt is short when it needs at most this share of an engine's memory.
    private static final double SHORT_PROMPT_SHARE = 0.02;

    private EngineRoom() {}

    /** Returns the tokens that a prompt and its output occupy in an engine's memory. */
    public static long tokens(Prompt prompt) {
        return (long) prompt.inputTokens() + prompt.maxOutputTokens();
    }

    /** Whether a prompt is so small that it may use the room which long prompts leave free. */
    public static boolean isShort(Prompt prompt, EngineProfile profile) {
        return tokens(prompt) <= profile.cacheTokens() * SHORT_PROMPT_SHARE;
    }

    /** Whether an engine has room for a prompt; an idle engine always has. */
    public static boolean hasRoom(Candidate candidate, Prompt prompt, EngineProfile profile) {
        long occupied = candidate.estimate().memoryTokens();
        if (occupied == 0 || profile.cacheTokens() <= 0) {
            return true;
        }
        long needed = occupied + tokens(prompt);
        if (isShort(prompt, profile)) {
            return needed <= profile.cacheTokens();
        }
        return needed <= profile.cacheTokens() * LONG_PROMPT_SHARE
                && candidate.estimate().requests() + 1 <= profile.slots() * LONG_PROMPT_SLOT_SHARE;
    }
}
