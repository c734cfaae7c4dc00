package io.agatelane.node.io.engine;

import io.agatelane.core.routing.UpstreamState;

/**
 * Counts a request as in flight on an engine until it is released. Every path must release it; further calls have no
 * effect.
 */
final class EngineReservation {
    private final UpstreamState upstream;
    private final long prefillTokens;
    private final boolean longRequest;
    private boolean prefillEnded;
    private boolean released;

    EngineReservation(UpstreamState upstream, long prefillTokens, boolean longRequest, long nowMillis) {
        this.upstream = upstream;
        this.prefillTokens = prefillTokens;
        this.longRequest = longRequest;
        upstream.recordSent(prefillTokens, longRequest, nowMillis);
    }

    /** Records that the engine finished the prefill of the prompt. */
    synchronized void endPrefill() {
        if (!prefillEnded) {
            prefillEnded = true;
            upstream.recordPrefillEnded(prefillTokens);
        }
    }

    synchronized void release(long nowMillis) {
        if (!released) {
            released = true;
            endPrefill();
            upstream.recordFinished(longRequest, nowMillis);
        }
    }
}
