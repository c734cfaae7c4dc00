package io.agatelane.node.io.service;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.Outcome;

/** An attempt of this router; used on the control thread. */
final class Attempt {
    final AttemptId id;
    final BookingKey key;
    final String requestDigest;

    /** Null while the attempt may still send or is waiting for the answer of the service. */
    Outcome outcome;

    /** Whether an owner may have written the claim. */
    boolean maybeClaimed;

    Attempt(AttemptId id, BookingKey key, String requestDigest) {
        this.id = id;
        this.key = key;
        this.requestDigest = requestDigest;
    }
}
