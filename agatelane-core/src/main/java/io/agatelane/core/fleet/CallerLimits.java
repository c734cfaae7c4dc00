package io.agatelane.core.fleet;

/** Limits on the size of a caller's request and on the time that the caller takes to send it. */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
