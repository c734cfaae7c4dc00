package io.agatelane.node.api;

import io.agatelane.core.fleet.Prompt;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The values that the router reads from the headers of a caller's request.
 *
 * @param id identity that the caller gives to this attempt of its request
 * @param deadlineMillis time for which the caller waits for the response; empty when not stated
 * @param apiKey empty when the request carries none
 * @param prompt empty when the request names no model
 * @param totalTokens tokens of the prompt and of the longest output; empty when not stated
 * @param expectedOutputTokens the caller's estimate of the output, which is often far off; empty when not stated
 */
public record CallerRequest(
        String id,
        OptionalLong deadlineMillis,
        Optional<String> apiKey,
        Optional<Prompt> prompt,
        OptionalLong totalTokens,
        OptionalInt expectedOutputTokens) {}
