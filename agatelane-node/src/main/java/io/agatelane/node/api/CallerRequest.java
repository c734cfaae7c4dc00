package io.agatelane.node.api;

import io.agatelane.core.fleet.Prompt;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller states about its request besides method, path and body.
 *
 * @param id identity of this attempt of the caller
 * @param deadlineMillis time that the caller will wait; empty when not stated
 * @param apiKey empty when the request carries none
 * @param prompt empty when the request names no model
 */
public record CallerRequest(String id, OptionalLong deadlineMillis, Optional<String> apiKey, Optional<Prompt> prompt) {}
