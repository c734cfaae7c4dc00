package io.agatelane.node.io.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.failure.AgatelaneException;

/** Delivers a response to the caller without blocking. Exactly one of {@code complete} and {@code fail} ends it. */
interface CallerSink {
    /** Delivers the next chunk of the response. */
    void chunk(String eventId, ObjectNode chunk);

    /** Ends a response that is complete. */
    void complete();

    /** Ends the response with a failure. */
    void fail(AgatelaneException failure);

    /** Shows a waiting caller that the request is alive, and detects a caller that disconnected. */
    void keepAlive();

    /** Whether a write is blocked until the caller reads. */
    boolean isBlocked();

    /** Runs the action once the caller has read enough for more to be sent; immediately if it has. */
    void whenWritable(Runnable action);
}
