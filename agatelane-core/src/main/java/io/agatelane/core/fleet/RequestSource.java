package io.agatelane.core.fleet;

import java.util.OptionalInt;

/**
 * What is known in advance of the output of a prompt.
 *
 * @param route name of the route
 * @param account name of the client account; empty for requests without one
 * @param hintTokens the caller's estimate of the output tokens; empty when not stated
 * @param maxTokens maximum number of output tokens
 */
public record RequestSource(String route, String account, OptionalInt hintTokens, int maxTokens) {}
