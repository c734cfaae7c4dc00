package io.agatelane.core.fleet;

/**
 * Expected output of a prompt.
 *
 * @param tokens output tokens that half of such requests exceed
 * @param highTokens output tokens that one in ten of such requests exceeds
 */
public record OutputEstimate(double tokens, double highTokens) {}
