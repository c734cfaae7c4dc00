package io.agatelane.core.fleet;

/**
 * What another router says of an upstream.
 *
 * @param upstream hash of the upstream's key
 * @param backlog prefill work of requests that have no answer yet
 * @param silentMillis age of the oldest request without an answer
 * @param failures recent failures, faded with time
 */
public record PeerLoad(long upstream, int inFlight, PrefillBacklog backlog, int silentMillis, double failures) {
    /** This load without the part that another one is of it. */
    public PeerLoad minus(PeerLoad part) {
        return new PeerLoad(
                upstream,
                Math.max(0, inFlight - part.inFlight()),
                backlog.minus(part.backlog()),
                silentMillis,
                Math.max(0, failures - part.failures()));
    }
}
