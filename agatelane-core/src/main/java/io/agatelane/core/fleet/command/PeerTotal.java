package io.agatelane.core.fleet.command;

/**
 * What all other routers together say of an upstream.
 *
 * @param silentMillis age of the oldest request without an answer that at least two routers agree on
 */
public record PeerTotal(int inFlight, int pendingPrefillMillis, int silentMillis, double failures) {
    /** No other router has said anything. */
    public static final PeerTotal NONE = new PeerTotal(0, 0, 0, 0);
}
