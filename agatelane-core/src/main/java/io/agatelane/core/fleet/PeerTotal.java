package io.agatelane.core.fleet;

/**
 * What all other routers together say of an upstream.
 *
 * @param backlog prefill work of requests that have no answer yet
 * @param silentMillis age of the oldest request without an answer that at least two routers agree on
 */
public record PeerTotal(int inFlight, PrefillBacklog backlog, int silentMillis, double failures) {
    /** No other router has said anything. */
    public static final PeerTotal NONE = new PeerTotal(0, PrefillBacklog.EMPTY, 0, 0);
}
