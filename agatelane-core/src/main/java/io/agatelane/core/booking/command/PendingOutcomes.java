package io.agatelane.core.booking.command;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.Booking;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.BookingState;
import io.agatelane.core.booking.Outcome;
import io.agatelane.core.booking.ServiceResponse;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/** Outcomes that this router knows and that are not yet recorded; they take precedence over the recorded state. */
final class PendingOutcomes {
    private final int inlineResponseBytes;
    private final Map<BookingKey, PendingOutcome> outcomes = new LinkedHashMap<>();

    PendingOutcomes(int inlineResponseBytes) {
        this.inlineResponseBytes = inlineResponseBytes;
    }

    boolean isEmpty() {
        return outcomes.isEmpty();
    }

    PendingOutcome get(BookingKey key) {
        return outcomes.get(key);
    }

    Map<BookingKey, PendingOutcome> all() {
        return outcomes;
    }

    void forEach(BiConsumer<BookingKey, PendingOutcome> action) {
        outcomes.forEach(action);
    }

    /** Removes an outcome that is now recorded, unless a more certain one has replaced it. */
    void remove(BookingKey key, PendingOutcome recorded) {
        outcomes.remove(key, recorded);
    }

    /** Adds an outcome. Returns false when an equally or more certain one of the same attempt is already present. */
    boolean add(BookingKey key, AttemptId attempt, Outcome outcome) {
        PendingOutcome previous = outcomes.get(key);
        boolean moreCertain = previous == null
                || !previous.attempt.equals(attempt)
                || previous.outcome.kind().compareTo(outcome.kind()) < 0;
        if (!moreCertain) {
            return false;
        }
        boolean inline = outcome.response()
                .map(value -> value.body().length <= inlineResponseBytes)
                .orElse(true);
        PendingOutcome pending = new PendingOutcome(attempt, outcome, inline);
        if (previous != null) {
            pending.tickets.addAll(previous.tickets);
        }
        outcomes.put(key, pending);
        return true;
    }

    /**
     * Applies the pending outcome, if there is one, to the recorded state of a booking.
     *
     * @param booking recorded state; null when there is none
     * @return the resulting state; null when there is none
     */
    Booking applyTo(BookingKey key, Booking booking, long nowEpochMillis) {
        PendingOutcome pending = outcomes.get(key);
        if (pending == null) {
            return booking;
        }
        if (booking == null) {
            return entryWithoutBooking(key, pending, nowEpochMillis).orElse(null);
        }
        if (booking.state() == BookingState.FINISHED || !booking.attempt().equals(pending.attempt)) {
            return booking;
        }
        return switch (pending.outcome.kind()) {
            case FINISHED -> booking.withFinished(pending.outcome.response());
            case RELEASED -> null;
            case UNKNOWN -> booking.withOutcomeUnknown();
        };
    }

    /**
     * Returns the entry for an outcome whose booking is not recorded, because it expired or the platform was restored
     * to an older state. A call that was sent is still recorded; its request digest is not known.
     */
    static Optional<Booking> entryWithoutBooking(BookingKey key, PendingOutcome pending, long nowEpochMillis) {
        Booking booking = Booking.claimed(key, pending.attempt, "", nowEpochMillis);
        return switch (pending.outcome.kind()) {
            case FINISHED -> Optional.of(booking.withFinished(pending.outcome.response()));
            case UNKNOWN -> Optional.of(booking.withOutcomeUnknown());
            case RELEASED -> Optional.empty();
        };
    }

    /**
     * Adds the bookings in memory after the platform was restored to an older state, so that they are recorded again.
     * The outcome of a call that may be running is unknown until it is received.
     */
    void addUnrecorded(BookingTable table, long nowEpochMillis) {
        for (Booking booking : table.allBookings(nowEpochMillis)) {
            ServiceResponse response = booking.state() == BookingState.FINISHED ? table.response(booking) : null;
            add(booking.key(), booking.attempt(), response == null ? Outcome.unknown() : Outcome.finished(response));
        }
    }
}
