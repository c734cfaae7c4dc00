package io.agatelane.lab.engine;

/**
 * Summary of a finished generation.
 *
 * @param completionTokens output tokens, including those that the request resumed from
 */
public record GenerationResult(int promptTokens, int completionTokens, int cachedTokens, String finishReason) {}
