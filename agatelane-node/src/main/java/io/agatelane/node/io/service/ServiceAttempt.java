package io.agatelane.node.io.service;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.Outcome;

/** An attempt of this router to run a booked call; used on the control thread only. */
final class ServiceAttempt {
    final AttemptId id;
    final BookingKey key;
    final String requestDigest;

    /** Null while the attempt may still be sent or waits for the response of the service. */
    Outcome outcome;

    /** Whether a partition owner may have written the claim to the store. */
    boolean maybeClaimed;

    ServiceAttempt(AttemptId id, BookingKey key, String requestDigest) {
        this.id = id;
        this.key = key;
        this.requestDigest = requestDigest;
    }
}
