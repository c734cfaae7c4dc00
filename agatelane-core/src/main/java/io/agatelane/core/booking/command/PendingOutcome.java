package io.agatelane.core.booking.command;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.Outcome;
import java.util.ArrayList;
import java.util.List;

/** An outcome that this router knows and that is not yet recorded in the store. */
final class PendingOutcome {
    final AttemptId attempt;
    final Outcome outcome;
    final List<Long> tickets = new ArrayList<>();

    /** False while a long response is being written under its own key. */
    boolean writable;

    PendingOutcome(AttemptId attempt, Outcome outcome, boolean writable) {
        this.attempt = attempt;
        this.outcome = outcome;
        this.writable = writable;
    }
}
