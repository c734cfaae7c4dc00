package io.agatelane.core.booking.command;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.Segment;
import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.booking.Verdict;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Action that the caller of a partition's state machine has to carry out. The result of an action, if it has one, goes
 * back to the machine as an event.
 */
public sealed interface Effect {
    /**
     * Reads the open segment and those sealed segments that it lists and that are not in memory. The result is the
     * event {@code loaded} or {@code loadFailed}.
     *
     * @param knownSealed names of the sealed segments in memory
     */
    record Load(Set<String> knownSealed) implements Effect {}

    /**
     * Writes the sealed segment if there is one, then replaces the open one by a compare-and-swap on its revision. The
     * result is one of the swap events: succeeded, lost to another router, failed by an outage, or outcome unknown.
     */
    record Swap(long expectedRevision, Segment open, Optional<SealedWrite> sealed) implements Effect {}

    /** A sealed segment to write; its name is never used for any other content. */
    record SealedWrite(String name, Segment segment) {}

    /** Sends the event {@code commitDue} after a delay. */
    record ScheduleCommit(long delayMillis) implements Effect {}

    /**
     * Replies to a claim.
     *
     * @param claimant the attempt that holds the claim; for {@code UNAVAILABLE}, and for {@code UNKNOWN} during an
     *     outage, the requesting attempt if its claim may have been written
     */
    record Reply(long ticket, Verdict verdict, Optional<AttemptId> claimant, Optional<ServiceResponse> response)
            implements Effect {}

    /** Reports to the claimant whether its outcome is recorded. */
    record ReplyOutcome(long ticket, boolean durable) implements Effect {}

    /** Queries the claimant for the state of its attempt, which goes back as an event. */
    record QueryClaimant(BookingKey key, AttemptId attempt) implements Effect {}

    /** Queries the service for whether the call ran; the result goes back as an event. */
    record QueryServiceStatus(BookingKey key, AttemptId attempt) implements Effect {}

    /** Writes a long response under its own key; the result goes back as an event. */
    record StoreResponse(BookingKey key, AttemptId attempt, ServiceResponse response) implements Effect {}

    /** Reads a long response, which goes back as an event. */
    record LoadResponse(BookingKey key, AttemptId attempt) implements Effect {}

    /** Deletes sealed segments whose retention time has ended, and the long responses to which they refer. */
    record DeleteSealed(List<String> names) implements Effect {}
}
