package io.agatelane.core.fleet;

/** One part of a prompt, named by the caller. */
public record PromptPart(String id, int tokens) {}
