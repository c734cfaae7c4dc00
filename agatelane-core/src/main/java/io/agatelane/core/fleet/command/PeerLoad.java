package io.agatelane.core.fleet.command;

/**
 * What another router says of an upstream.
 *
 * @param upstream hash of the upstream's key
 * @param silentMillis age of the oldest request without an answer
 * @param failures recent failures, faded with time
 */
public record PeerLoad(long upstream, int inFlight, int pendingPrefillMillis, int silentMillis, double failures) {}
