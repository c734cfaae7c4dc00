package io.agatelane.core.fleet;

/** One part of a prompt. Parts with the same id, which the caller assigns, have the same content. */
public record PromptPart(String id, int tokens) {}
