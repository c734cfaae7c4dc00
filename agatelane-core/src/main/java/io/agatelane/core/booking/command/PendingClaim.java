package io.agatelane.core.booking.command;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.BookingKey;
import java.util.Optional;

/** A claim that has received no reply. */
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

    /** Returns this claim's attempt if the store may hold the claim; the requesting router has to release it then. */
    Optional<AttemptId> attemptIfMaybeWritten() {
        return maybeWritten ? Optional.of(attempt) : Optional.empty();
    }
}
