package io.agatelane.core.booking.command;

import io.agatelane.core.booking.Booking;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.BookingLimits;
import io.agatelane.core.booking.BookingState;
import io.agatelane.core.booking.Outcome;
import io.agatelane.core.booking.SealedRef;
import io.agatelane.core.booking.Segment;
import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.booking.query.SegmentSize;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Builds the content of one compare-and-swap: the next open segment and, if it is due, a sealed one. */
final class BatchBuilder {
    private final BookingLimits limits;
    private final BookingTable table;
    private final EventTime now;
    private final Batch batch = new Batch();
    private final Map<BookingKey, Booking> entries = new LinkedHashMap<>();
    private final List<SealedRef> sealedRefs = new ArrayList<>();
    private int sizeBytes;
    private boolean changed;

    BatchBuilder(BookingLimits limits, BookingTable table, EventTime now) {
        this.limits = limits;
        this.table = table;
        this.now = now;
        for (SealedRef ref : table.sealedRefs()) {
            if (now.epochMillis() - ref.sealedEpochMillis() >= limits.retentionMillis()) {
                batch.expiredSealed.add(ref.name());
            } else {
                sealedRefs.add(ref);
            }
        }
        sealIfFull(table.openBookings(now.epochMillis()));
    }

    /** Adds an outcome. Returns false when it does not fit and has to wait for the next commit. */
    boolean add(BookingKey key, PendingOutcome pending) {
        Booking booking = find(key);
        Optional<Booking> next = apply(key, booking, pending);
        int addedBytes = next.map(SegmentSize::of).orElse(0);
        if (changed && sizeBytes + addedBytes > limits.maxSegmentBytes()) {
            return false;
        }
        if (next.isPresent() && !next.get().equals(booking)) {
            put(next.get());
        } else if (next.isEmpty() && booking != null) {
            remove(key);
        }
        batch.outcomes.put(key, pending);
        return true;
    }

    /**
     * Adds a claim for a booking without an entry. Returns false when the segment has no room or the batch holds a
     * claim of another attempt for the booking.
     */
    boolean add(PendingClaim claim) {
        List<PendingClaim> sameBooking = batch.claims.get(claim.key);
        if (sameBooking != null) {
            boolean sameAttempt = sameBooking.get(0).attempt.equals(claim.attempt);
            if (sameAttempt) {
                batch.addClaim(claim);
            }
            return sameAttempt;
        }
        Booking booking = Booking.claimed(claim.key, claim.attempt, claim.requestDigest, now.epochMillis());
        if (sizeBytes + SegmentSize.of(booking) > limits.maxSegmentBytes()) {
            return false;
        }
        put(booking);
        batch.addClaim(claim);
        return true;
    }

    /** Returns whether the open segment has no room for claims. */
    boolean isFull() {
        return sizeBytes >= limits.maxSegmentBytes();
    }

    /** Returns the batch; empty when it changes nothing that is stored. */
    Optional<Batch> build(String writer) {
        if (!changed) {
            return Optional.empty();
        }
        long number = table.number() + (batch.sealed.isPresent() ? 1 : 0);
        batch.open = new Segment(number, List.copyOf(entries.values()), sealedRefs, writer);
        return Optional.of(batch);
    }

    /**
     * Returns the outcomes added; when the batch is empty, they change nothing, for example because they are recorded.
     */
    Map<BookingKey, PendingOutcome> outcomes() {
        return batch.outcomes;
    }

    // The name of a sealed segment contains the revision at which its content was read. Two owners that seal at the
    // same revision write the same content, so the order of their writes does not matter.
    private void sealIfFull(List<Booking> unexpired) {
        List<Booking> settled = unexpired.stream()
                .filter(booking -> booking.state() != BookingState.CLAIMED)
                .toList();
        boolean seal = SegmentSize.of(settled) >= limits.sealBytes();
        for (Booking booking : unexpired) {
            if (!seal || booking.state() == BookingState.CLAIMED) {
                entries.put(booking.key(), booking);
                sizeBytes += SegmentSize.of(booking);
            }
        }
        if (seal) {
            String name = table.number() + "-" + table.revision();
            Segment content = new Segment(table.number(), settled, List.of(), "");
            batch.sealed = Optional.of(new Effect.SealedWrite(name, content));
            sealedRefs.add(new SealedRef(name, now.epochMillis(), settled.size()));
        }
    }

    private Booking find(BookingKey key) {
        Booking booking = entries.get(key);
        return booking != null ? booking : table.find(key, now.epochMillis());
    }

    // Returns the entry with the outcome applied; an equal entry when the outcome changes nothing.
    private Optional<Booking> apply(BookingKey key, Booking booking, PendingOutcome pending) {
        if (booking == null) {
            return PendingOutcomes.entryWithoutBooking(key, pending, now.epochMillis())
                    .map(added -> added.response().isPresent()
                            ? added.withFinished(inlineIfShort(added.response().get()))
                            : added);
        }
        if (booking.state() == BookingState.FINISHED || !booking.attempt().equals(pending.attempt)) {
            return Optional.of(booking);
        }
        if (pending.outcome.kind() == Outcome.Kind.FINISHED) {
            return Optional.of(booking.withFinished(
                    inlineIfShort(pending.outcome.response().orElseThrow())));
        }
        if (pending.outcome.kind() == Outcome.Kind.RELEASED) {
            // An entry of a sealed segment cannot be removed, only overridden; its outcome stays unknown.
            return entries.containsKey(key) ? Optional.empty() : Optional.of(booking);
        }
        return Optional.of(booking.state() == BookingState.CLAIMED ? booking.withOutcomeUnknown() : booking);
    }

    private Optional<ServiceResponse> inlineIfShort(ServiceResponse response) {
        return Optional.of(response).filter(value -> value.body().length <= limits.inlineResponseBytes());
    }

    private void put(Booking booking) {
        Booking previous = entries.put(booking.key(), booking);
        sizeBytes += SegmentSize.of(booking) - (previous == null ? 0 : SegmentSize.of(previous));
        changed = true;
    }

    private void remove(BookingKey key) {
        Booking previous = entries.remove(key);
        if (previous != null) {
            sizeBytes -= SegmentSize.of(previous);
            changed = true;
        }
    }
}
