package io.agatelane.node.cfg;

/**
 * Limits of the bytes that a fleet router holds for its requests.
 *
 * @param requestBytes bytes of request bodies, for all requests together
 * @param responseBytes bytes of responses that have been read and not yet written, for all requests together
 * @param upstreamBytes bytes of the bodies of this router's unfinished requests to one upstream
 * @param unreadMillis time without progress after which a response that its caller does not read is broken off
 */
public record HeldBytes(long requestBytes, long responseBytes, long upstreamBytes, long unreadMillis) {
    // The rest is for connections and streams in flight (estimated at up to 100 KB for each of 450 requests with the
    // heap of 126 MB) and for what the router knows of the fleet.
    private static final double DEFAULT_BODY_HEAP_SHARE = 0.4;
    // A stream holds some KB as long as its caller reads.
    private static final double DEFAULT_RESPONSE_HEAP_SHARE = 0.125;
    // Eight bodies of the usual limit of 4 MB; the upstreams of the existing plain services have six slots.
    private static final long DEFAULT_UPSTREAM_BYTES = 32L << 20;
    // Upstreams cut off a response that stays unread for some seconds.
    private static final long DEFAULT_UNREAD_MILLIS = 5_000;

    /** Returns the limits that suit the heap of this process. */
    public static HeldBytes ofHeap() {
        long heapBytes = Runtime.getRuntime().maxMemory();
        return new HeldBytes(
                Math.round(heapBytes * DEFAULT_BODY_HEAP_SHARE),
                Math.round(heapBytes * DEFAULT_RESPONSE_HEAP_SHARE),
                DEFAULT_UPSTREAM_BYTES,
                DEFAULT_UNREAD_MILLIS);
    }
}
