package io.agatelane.core.booking.command;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.Booking;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.BookingLimits;
import io.agatelane.core.booking.BookingState;
import io.agatelane.core.booking.ClaimantState;
import io.agatelane.core.booking.LoadedPartition;
import io.agatelane.core.booking.Outcome;
import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.booking.Verdict;
import io.agatelane.core.booking.query.ClaimDecision;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * State machine of one partition of bookings on a router that acts as its owner. Each event returns the effects that
 * the caller has to carry out. Several routers may act as owner at the same time; the compare-and-swap on the revision
 * of the open segment lets only one of two conflicting commits take effect. Not thread-safe.
 */
public final class PartitionMachine {
    /** Ticket of an outcome for which no reply is expected. */
    public static final long NO_TICKET = -1;

    private final BookingLimits limits;
    private final String writerPrefix;
    private final BookingTable table;
    private final Inquiries inquiries;
    private final Map<Long, PendingClaim> claims = new HashMap<>();
    private final Map<BookingKey, List<PendingClaim>> waiting = new HashMap<>();
    private final Map<AttemptId, List<PendingClaim>> waitingForResponse = new HashMap<>();
    private final PendingOutcomes outcomes;
    private List<PendingClaim> queued = new ArrayList<>();
    private List<Effect> effects = new ArrayList<>();
    private Batch batch;
    private boolean loadedAsOwner;
    private boolean loadNeeded = true;
    private boolean loading;
    private boolean commitScheduled;
    private boolean reevaluating;
    private long outcomesDueMillis = Long.MAX_VALUE;
    private boolean outage;
    private long commitCount;

    /** Creates the machine of an unread partition; the prefix names the commits and is unique to this process start. */
    public PartitionMachine(BookingLimits limits, String writerPrefix) {
        this.limits = limits;
        this.writerPrefix = writerPrefix;
        this.table = new BookingTable(limits.retentionMillis(), limits.responseCacheBytes());
        this.inquiries = new Inquiries(limits.inquiryPauseMillis());
        this.outcomes = new PendingOutcomes(limits.inlineResponseBytes());
    }

    /** Event: the router became the owner. The state in memory may be stale and is read again. */
    public List<Effect> ownershipGained(EventTime now) {
        loadedAsOwner = false;
        loadNeeded = true;
        continueWork(now);
        return takeEffects();
    }

    /** Event: a router requests the claim of a booking. */
    public List<Effect> claim(EventTime now, long ticket, BookingKey key, AttemptId attempt, String requestDigest) {
        PendingClaim claim = new PendingClaim(ticket, key, attempt, requestDigest);
        claims.put(ticket, claim);
        evaluate(now, claim);
        return takeEffects();
    }

    /** Event: the longest time for which a claim may wait has passed. */
    public List<Effect> waitExpired(EventTime now, long ticket) {
        PendingClaim claim = claims.get(ticket);
        if (claim != null) {
            List<PendingClaim> sameBooking = waiting.get(claim.key);
            boolean waits = sameBooking != null && sameBooking.remove(claim);
            Booking booking = find(claim.key, now);
            if (waits && booking != null) {
                reply(claim, Verdict.IN_PROGRESS, Optional.of(booking.attempt()), Optional.empty());
            } else {
                claim.maybeWritten |= batch != null;
                replyUnavailable(claim);
            }
            queued.remove(claim);
        }
        return takeEffects();
    }

    /** Event: a claimant reports how its attempt ended. */
    public List<Effect> outcome(EventTime now, long ticket, BookingKey key, AttemptId attempt, Outcome outcome) {
        addOutcome(now, ticket, key, attempt, outcome);
        return takeEffects();
    }

    /** Event: the delay that collects claims and outcomes into one commit, or follows a failure, has passed. */
    public List<Effect> commitDue(EventTime now) {
        commitScheduled = false;
        continueWork(now);
        return takeEffects();
    }

    /** Event: the partition was read. A revision lower than the known one means that the platform was restored. */
    public List<Effect> loaded(EventTime now, LoadedPartition partition) {
        if (partition.revision() < table.revision()) {
            outcomes.addUnrecorded(table, now.epochMillis());
            outcomesDueMillis = now.monotonicMillis();
        }
        table.load(partition);
        if (!table.isComplete()) {
            // Without the missing segment, its bookings would be granted and run again.
            loadedAsOwner = false;
            return loadFailed(now);
        }
        loading = false;
        loadNeeded = false;
        loadedAsOwner = true;
        outage = false;
        if (batch != null) {
            if (partition.open().writer().equals(batch.open.writer())) {
                finishBatch();
            } else {
                requeueBatch();
            }
        }
        for (BookingKey key : inquiries.waitingForReload()) {
            inquireAfterReload(now, key);
        }
        reevaluateAll(now);
        continueWork(now);
        return takeEffects();
    }

    /** Event: the partition could not be read. */
    public List<Effect> loadFailed(EventTime now) {
        loading = false;
        platformFailed(now);
        inquiries.waitingForReload().forEach(key -> queryService(now, key));
        return takeEffects();
    }

    /** Event: the compare-and-swap took effect, and the open segment now has this revision. */
    public List<Effect> swapSucceeded(EventTime now, long revision) {
        batch.sealed.ifPresent(write -> table.addSealed(write.name(), write.segment()));
        table.replaceOpenSegment(revision, batch.open);
        outage = false;
        finishBatch();
        reevaluateAll(now);
        continueWork(now);
        return takeEffects();
    }

    /** Event: the compare-and-swap had no effect, because another router had changed the open segment. */
    public List<Effect> swapConflicted(EventTime now) {
        requeueBatch();
        loadNeeded = true;
        continueWork(now);
        return takeEffects();
    }

    /** Event: the compare-and-swap had no effect, because the platform is unavailable. */
    public List<Effect> swapFailedByOutage(EventTime now) {
        platformFailed(now);
        return takeEffects();
    }

    /** Event: it is not known whether the compare-and-swap took effect; the partition is read again to find out. */
    public List<Effect> swapOutcomeUnknown(EventTime now) {
        batch.allClaims().forEach(claim -> claim.maybeWritten = true);
        loadNeeded = true;
        startLoad();
        return takeEffects();
    }

    /** Event: the claimant reported the state of an attempt, or the membership reported that the claimant is dead. */
    public List<Effect> claimantReported(
            EventTime now, BookingKey key, AttemptId attempt, ClaimantState state, Optional<ServiceResponse> response) {
        if (!inquiries.isAt(key, attempt, Inquiries.Stage.CLAIMANT)) {
            return takeEffects();
        }
        switch (state) {
            case FINISHED -> {
                inquiries.end(key, now.monotonicMillis());
                addOutcome(now, NO_TICKET, key, attempt, Outcome.finished(response.orElseThrow()));
            }
            case NEVER_SENT -> {
                inquiries.end(key, now.monotonicMillis());
                addOutcome(now, NO_TICKET, key, attempt, Outcome.released());
            }
            case SENT_WITHOUT_ANSWER -> {
                addOutcome(now, NO_TICKET, key, attempt, Outcome.unknown());
                queryService(now, key);
            }
            case GONE -> reloadForInquiry(now, key);
            default -> endWithoutResult(now, key, attempt, state);
        }
        return takeEffects();
    }

    /** Event: the service reported whether the call ran; an empty response means that this is not known. */
    public List<Effect> statusReceived(
            EventTime now, BookingKey key, AttemptId attempt, Optional<ServiceResponse> response) {
        if (inquiries.isAt(key, attempt, Inquiries.Stage.STATUS)) {
            inquiries.end(key, now.monotonicMillis());
            if (response.isPresent()) {
                addOutcome(now, NO_TICKET, key, attempt, Outcome.finished(response.get()));
            } else {
                reevaluateWaiting(now, key);
            }
        }
        return takeEffects();
    }

    /** Event: a long response was written, or the write failed. */
    public List<Effect> responseStored(EventTime now, BookingKey key, AttemptId attempt, boolean stored) {
        PendingOutcome pending = outcomes.get(key);
        if (pending != null && pending.attempt.equals(attempt)) {
            if (stored) {
                pending.writable = true;
                scheduleOutcomes(now);
            } else {
                replyNotDurable(pending);
            }
        }
        return takeEffects();
    }

    /** Event: a long response was read; empty when it could not be read. */
    public List<Effect> responseLoaded(EventTime now, AttemptId attempt, Optional<ServiceResponse> response) {
        response.ifPresent(value -> table.cacheResponse(attempt, value));
        List<PendingClaim> waiters = waitingForResponse.remove(attempt);
        if (waiters != null) {
            Verdict verdict = response.isPresent() ? Verdict.FINISHED : Verdict.UNKNOWN;
            waiters.forEach(claim -> reply(claim, verdict, Optional.of(attempt), response));
        }
        return takeEffects();
    }

    /** Event: about once a second. Repeats inquiries for claims that wait, and writes that failed. */
    public List<Effect> tick(EventTime now) {
        inquiries.removeExpired(now.monotonicMillis());
        for (BookingKey key : List.copyOf(waiting.keySet())) {
            Booking booking = find(key, now);
            if (booking != null) {
                inquire(now, booking);
            }
        }
        outcomes.forEach((key, pending) -> {
            if (!pending.writable && pending.tickets.isEmpty()) {
                storeResponse(key, pending);
            }
        });
        continueWork(now);
        return takeEffects();
    }

    /** Returns whether the partition was read since the router became its owner. */
    public boolean isLoaded() {
        return loadedAsOwner;
    }

    /** Returns whether nothing is waiting or unrecorded, so that this machine may be dropped. */
    public boolean isIdle() {
        return claims.isEmpty() && outcomes.isEmpty() && batch == null && !loading;
    }

    private List<Effect> takeEffects() {
        List<Effect> result = effects;
        effects = new ArrayList<>();
        return result;
    }

    // Returns the recorded state with the outcomes applied that are known here and not yet recorded.
    private Booking find(BookingKey key, EventTime now) {
        return outcomes.applyTo(key, table.find(key, now.epochMillis()), now.epochMillis());
    }

    private void evaluate(EventTime now, PendingClaim claim) {
        Booking booking = find(claim.key, now);
        boolean finished = booking != null && booking.state() == BookingState.FINISHED;
        if (loadNeeded && !finished) {
            if (!outage) {
                queued.add(claim);
                continueWork(now);
                return;
            }
            if (!loadedAsOwner) {
                replyUnknown(claim);
                return;
            }
        }
        switch (ClaimDecision.of(booking, claim.attempt, claim.requestDigest)) {
            case WRITE -> {
                if (outage) {
                    replyUnknown(claim);
                } else {
                    queued.add(claim);
                    scheduleClaims(now);
                }
            }
            case GRANT_AGAIN -> reply(claim, Verdict.GRANTED, Optional.of(claim.attempt), Optional.empty());
            case MISMATCH -> reply(claim, Verdict.MISMATCH, Optional.empty(), Optional.empty());
            case RETURN_RESPONSE -> replyFinished(claim, booking);
            case INQUIRE -> {
                if (inquiries.endedRecently(claim.key, booking.attempt(), now.monotonicMillis())) {
                    reply(claim, Verdict.UNKNOWN, Optional.of(booking.attempt()), Optional.empty());
                } else {
                    await(now, claim, booking);
                }
            }
            default -> await(now, claim, booking);
        }
    }

    private void await(EventTime now, PendingClaim claim, Booking booking) {
        waiting.computeIfAbsent(claim.key, unused -> new ArrayList<>()).add(claim);
        inquire(now, booking);
    }

    private void replyFinished(PendingClaim claim, Booking booking) {
        ServiceResponse response = table.response(booking);
        if (response != null) {
            reply(claim, Verdict.FINISHED, Optional.of(booking.attempt()), Optional.of(response));
            return;
        }
        List<PendingClaim> waiters = waitingForResponse.get(booking.attempt());
        if (waiters == null) {
            waiters = new ArrayList<>();
            waitingForResponse.put(booking.attempt(), waiters);
            effects.add(new Effect.LoadResponse(claim.key, booking.attempt()));
        }
        waiters.add(claim);
    }

    private void reply(
            PendingClaim claim, Verdict verdict, Optional<AttemptId> claimant, Optional<ServiceResponse> response) {
        if (!claim.replied) {
            claim.replied = true;
            claims.remove(claim.ticket);
            effects.add(new Effect.Reply(claim.ticket, verdict, claimant, response));
        }
    }

    private void replyUnavailable(PendingClaim claim) {
        reply(claim, Verdict.UNAVAILABLE, claim.attemptIfMaybeWritten(), Optional.empty());
    }

    // An earlier attempt may have run, so the reply must not state that the call did not run. The state that was read
    // before an outage does not prove it: another router may have acted as owner and written since.
    private void replyUnknown(PendingClaim claim) {
        reply(claim, Verdict.UNKNOWN, claim.attemptIfMaybeWritten(), Optional.empty());
    }

    private void addOutcome(EventTime now, long ticket, BookingKey key, AttemptId attempt, Outcome outcome) {
        boolean added = outcomes.add(key, attempt, outcome);
        PendingOutcome pending = outcomes.get(key);
        if (added && !pending.writable) {
            storeResponse(key, pending);
        }
        if (ticket != NO_TICKET) {
            pending.tickets.add(ticket);
        }
        boolean released = outcome.kind() == Outcome.Kind.RELEASED;
        if (released) {
            dropQueued(attempt);
        }
        if (released && table.find(key, now.epochMillis()) == null) {
            // Another owner may have written the claim that this outcome releases.
            loadNeeded = true;
        }
        reevaluateWaiting(now, key);
        if (outage) {
            replyNotDurable(pending);
        } else {
            scheduleOutcomes(now);
        }
    }

    private void storeResponse(BookingKey key, PendingOutcome pending) {
        ServiceResponse response = pending.outcome.response().orElseThrow();
        table.cacheResponse(pending.attempt, response);
        effects.add(new Effect.StoreResponse(key, pending.attempt, response));
    }

    private void dropQueued(AttemptId attempt) {
        for (PendingClaim claim : List.copyOf(queued)) {
            if (claim.attempt.equals(attempt)) {
                queued.remove(claim);
                replyUnavailable(claim);
            }
        }
    }

    private void replyNotDurable(PendingOutcome pending) {
        pending.tickets.forEach(ticket -> effects.add(new Effect.ReplyOutcome(ticket, false)));
        pending.tickets.clear();
    }

    private void reevaluateWaiting(EventTime now, BookingKey key) {
        List<PendingClaim> waiters = waiting.remove(key);
        if (waiters != null) {
            waiters.forEach(claim -> evaluate(now, claim));
        }
    }

    private void reevaluateAll(EventTime now) {
        // These claims have already waited, so they are committed without another delay.
        reevaluating = true;
        List<PendingClaim> requeued = queued;
        queued = new ArrayList<>();
        requeued.stream().filter(claim -> !claim.replied).forEach(claim -> evaluate(now, claim));
        List.copyOf(waiting.keySet()).forEach(key -> reevaluateWaiting(now, key));
        reevaluating = false;
    }

    private void scheduleClaims(EventTime now) {
        if (loadNeeded || batch != null || loading) {
            continueWork(now);
        } else if (!commitScheduled && !reevaluating) {
            commitScheduled = true;
            effects.add(new Effect.ScheduleCommit(limits.groupCommitMillis()));
        }
    }

    private void scheduleOutcomes(EventTime now) {
        if (outcomesDueMillis == Long.MAX_VALUE) {
            outcomesDueMillis = now.monotonicMillis() + limits.outcomeCommitMillis();
            effects.add(new Effect.ScheduleCommit(limits.outcomeCommitMillis()));
        }
        if (loadNeeded && !outage) {
            continueWork(now);
        }
    }

    // Starts the next store call if one is due and none is running.
    private void continueWork(EventTime now) {
        if (batch != null || loading) {
            return;
        }
        if (loadNeeded) {
            startLoad();
            return;
        }
        boolean claimsDue = !commitScheduled && !queued.isEmpty();
        if (claimsDue || now.monotonicMillis() >= outcomesDueMillis) {
            startCommit(now);
        }
    }

    private void startLoad() {
        if (!loading) {
            loading = true;
            effects.add(new Effect.Load(table.sealedNames()));
        }
    }

    private void startCommit(EventTime now) {
        BatchBuilder builder = new BatchBuilder(limits, table, now);
        outcomesDueMillis = Long.MAX_VALUE;
        for (Map.Entry<BookingKey, PendingOutcome> entry : outcomes.all().entrySet()) {
            if (entry.getValue().writable && !builder.add(entry.getKey(), entry.getValue())) {
                outcomesDueMillis = now.monotonicMillis();
                break;
            }
        }
        List<PendingClaim> candidates = queued;
        queued = new ArrayList<>();
        for (PendingClaim claim : candidates) {
            if (claim.replied) {
                continue;
            }
            if (find(claim.key, now) != null) {
                // An outcome arrived after the claim was queued.
                evaluate(now, claim);
            } else if (!builder.add(claim)) {
                queued.add(claim);
            }
        }
        commitCount++;
        Optional<Batch> next = builder.build(writerPrefix + "-" + commitCount);
        if (next.isPresent()) {
            batch = next.get();
            effects.add(new Effect.Swap(table.revision(), batch.open, batch.sealed));
            return;
        }
        confirmRecorded(builder.outcomes());
        // The claims of running calls fill the segment, so there is no room for more until one of them ends.
        queued.forEach(this::replyUnavailable);
        queued.clear();
    }

    private void confirmRecorded(Map<BookingKey, PendingOutcome> recorded) {
        recorded.forEach((key, pending) -> {
            outcomes.remove(key, pending);
            pending.tickets.forEach(ticket -> effects.add(new Effect.ReplyOutcome(ticket, true)));
            pending.tickets.clear();
        });
    }

    private void finishBatch() {
        Batch committed = batch;
        batch = null;
        for (PendingClaim claim : committed.allClaims()) {
            reply(claim, Verdict.GRANTED, Optional.of(claim.attempt), Optional.empty());
        }
        confirmRecorded(committed.outcomes);
        if (!committed.expiredSealed.isEmpty()) {
            effects.add(new Effect.DeleteSealed(List.copyOf(committed.expiredSealed)));
        }
    }

    private void requeueBatch() {
        List<PendingClaim> requeued = new ArrayList<>(batch.allClaims());
        if (!batch.outcomes.isEmpty()) {
            outcomesDueMillis = Long.MIN_VALUE;
        }
        batch = null;
        requeued.addAll(queued);
        queued = requeued;
    }

    private void platformFailed(EventTime now) {
        outage = true;
        loadNeeded = true;
        effects.add(new Effect.ScheduleCommit(limits.outagePauseMillis()));
        if (batch != null) {
            requeueBatch();
        }
        List<PendingClaim> refused = queued;
        queued = new ArrayList<>();
        for (PendingClaim claim : refused) {
            if (loadedAsOwner) {
                evaluate(now, claim);
            } else {
                replyUnknown(claim);
            }
        }
        outcomes.all().values().forEach(this::replyNotDurable);
        outcomesDueMillis = outcomes.isEmpty() ? Long.MAX_VALUE : now.monotonicMillis();
    }

    private void inquire(EventTime now, Booking booking) {
        if (inquiries.begin(booking.key(), booking.attempt(), now.monotonicMillis())) {
            effects.add(new Effect.QueryClaimant(booking.key(), booking.attempt()));
        }
    }

    private void reloadForInquiry(EventTime now, BookingKey key) {
        if (outage) {
            queryService(now, key);
            return;
        }
        inquiries.moveTo(key, Inquiries.Stage.RELOAD);
        loadNeeded = true;
        continueWork(now);
    }

    // The claimant forgets an attempt only after its outcome is recorded, so the state GONE is final only if the claim
    // is still open in a segment that was read afterwards.
    private void inquireAfterReload(EventTime now, BookingKey key) {
        Booking booking = find(key, now);
        boolean claimOpen = booking != null
                && booking.state() != BookingState.FINISHED
                && booking.attempt().equals(inquiries.attempt(key));
        if (claimOpen) {
            queryService(now, key);
        } else {
            inquiries.end(key, now.monotonicMillis());
        }
    }

    private void queryService(EventTime now, BookingKey key) {
        AttemptId attempt = inquiries.attempt(key);
        Booking booking = find(key, now);
        if (booking != null && booking.state() == BookingState.CLAIMED) {
            addOutcome(now, NO_TICKET, key, attempt, Outcome.unknown());
        }
        inquiries.moveTo(key, Inquiries.Stage.STATUS);
        effects.add(new Effect.QueryServiceStatus(key, attempt));
    }

    private void endWithoutResult(EventTime now, BookingKey key, AttemptId attempt, ClaimantState state) {
        Booking booking = find(key, now);
        boolean unknown = booking != null
                && booking.state() == BookingState.OUTCOME_UNKNOWN
                && booking.attempt().equals(attempt);
        if (unknown && state == ClaimantState.UNREACHABLE) {
            queryService(now, key);
            return;
        }
        inquiries.end(key, now.monotonicMillis());
        if (unknown) {
            reevaluateWaiting(now, key);
        }
    }
}
