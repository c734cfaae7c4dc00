package io.agatelane.core.fleet;

/** Bounds on what a caller may send and on how long it may take. */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
