package io.agatelane.core.fleet;

import java.util.List;

/**
 * Structure and size of a prompt, as declared by its caller.
 *
 * @param parts shared parts first; the last one is specific to the request or its session
 * @param inputTokens size of the whole prompt
 * @param maxOutputTokens maximum number of tokens to generate
 */
public record Prompt(String model, List<PromptPart> parts, int inputTokens, int maxOutputTokens) {
    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns all parts except the last one. */
    public List<PromptPart> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /** Returns the number of tokens in all parts except the last one. */
    public int sharedTokens() {
        return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
    }

    /** Returns the id of the longest shared prefix; empty when no part is shared. */
    public String sharedPrefixId() {
        return parts.size() < 2 ? "" : parts.get(parts.size() - 2).id();
    }
}
