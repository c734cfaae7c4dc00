package io.agatelane.core.booking.command;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.BookingKey;
import java.util.Optional;

/** A claim without an answer. */
final class PendingClaim {
    final long ticket;
    final BookingKey key;
    final AttemptId attempt;
    final String requestDigest;

    /** Set once a write that contains this claim may have taken effect. */
    boolean maybeWritten;

    boolean replied;

    PendingClaim(long ticket, BookingKey key, AttemptId attempt, String requestDigest) {
        this.ticket = ticket;
        this.key = key;
        this.attempt = attempt;
        this.requestDigest = requestDigest;
    }

    /** The attempt of this claim if the platform may hold it; the caller has to release it then. */
    Optional<AttemptId> written() {
        return maybeWritten ? Optional.of(attempt) : Optional.empty();
    }
}
