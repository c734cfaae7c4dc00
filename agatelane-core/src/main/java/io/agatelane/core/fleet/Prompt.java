package io.agatelane.core.fleet;

import java.util.List;

/**
 * What a caller says about a prompt.
 *
 * @param parts shared parts first; the last one belongs to the request or its session
 * @param inputTokens size of the whole prompt
 * @param maxOutputTokens most tokens to generate
 */
public record Prompt(String model, List<PromptPart> parts, int inputTokens, int maxOutputTokens) {
    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Tokens of all parts but the last one. */
    public int sharedTokens() {
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .mapToInt(PromptPart::tokens)
                .sum();
    }

    /** Identity of the longest shared prefix; empty when nothing is shared. */
    public String sharedPrefixId() {
        return parts.size() < 2 ? "" : parts.get(parts.size() - 2).id();
    }
}
