package io.agatelane.core.booking.command;

import io.agatelane.core.booking.Answer;
import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.Booking;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.BookingRules;
import io.agatelane.core.booking.BookingState;
import io.agatelane.core.booking.ClaimantState;
import io.agatelane.core.booking.LoadedPartition;
import io.agatelane.core.booking.Outcome;
import io.agatelane.core.booking.Verdict;
import io.agatelane.core.booking.query.ClaimDecision;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * State machine of one partition of the bookings on a router that acts as its owner. Each event returns the effects
 * that follow from it. Several routers may act as owner at a time; the compare-and-swap on the revision of the open
 * segment lets only one of two conflicting commits take effect. Not thread-safe.
 */
public final class PartitionMachine {
    /** Ticket of an outcome that nobody waits for. */
    public static final long NO_TICKET = -1;

    private final BookingRules rules;
    private final String writerPrefix;
    private final BookingTable table;
    private final Inquiries inquiries;
    private final Map<Long, PendingClaim> claims = new HashMap<>();
    private final Map<BookingKey, List<PendingClaim>> waiting = new HashMap<>();
    private final Map<AttemptId, List<PendingClaim>> waitingForAnswer = new HashMap<>();
    private final PendingOutcomes outcomes;
    private List<PendingClaim> queued = new ArrayList<>();
    private List<Effect> effects = new ArrayList<>();
    private Batch batch;
    private boolean everLoaded;
    private boolean loadNeeded = true;
    private boolean loading;
    private boolean commitScheduled;
    private boolean reconsidering;
    private long outcomesDueMillis = Long.MAX_VALUE;
    private boolean outage;
    private long commitCount;

    /**
     * Creates the machine of a partition that was not read yet.
     *
     * @param writerPrefix differs for each process
     */
    public PartitionMachine(BookingRules rules, String writerPrefix) {
        this.rules = rules;
        this.writerPrefix = writerPrefix;
        this.table = new BookingTable(rules.retentionMillis(), rules.answerCacheBytes());
        this.inquiries = new Inquiries(rules.resolvePauseMillis());
        this.outcomes = new PendingOutcomes(rules.inlineAnswerBytes());
    }

    /** The router became the owner: what is in memory may be old and is read again. */
    public List<Effect> ownershipGained(Now now) {
        everLoaded = false;
        loadNeeded = true;
        continueWork(now);
        return drain();
    }

    /** A router asks for the claim of a booking. */
    public List<Effect> claim(Now now, long ticket, BookingKey key, AttemptId attempt, String requestDigest) {
        PendingClaim claim = new PendingClaim(ticket, key, attempt, requestDigest);
        claims.put(ticket, claim);
        consider(now, claim);
        return drain();
    }

    /** The time that a claim may wait has passed. */
    public List<Effect> waitExpired(Now now, long ticket) {
        PendingClaim claim = claims.get(ticket);
        if (claim != null) {
            List<PendingClaim> sameBooking = waiting.get(claim.key);
            boolean waits = sameBooking != null && sameBooking.remove(claim);
            Booking booking = find(claim.key, now);
            if (waits && booking != null) {
                reply(claim, Verdict.IN_PROGRESS, Optional.of(booking.attempt()), Optional.empty());
            } else {
                claim.maybeWritten |= batch != null;
                refuse(claim);
            }
            queued.remove(claim);
        }
        return drain();
    }

    /** A claimant reports how its attempt ended. */
    public List<Effect> outcome(Now now, long ticket, BookingKey key, AttemptId attempt, Outcome outcome) {
        addOutcome(now, ticket, key, attempt, outcome);
        return drain();
    }

    /** The time to collect claims has passed. */
    public List<Effect> commitDue(Now now) {
        commitScheduled = false;
        continueWork(now);
        return drain();
    }

    /** The partition was read. */
    public List<Effect> loaded(Now now, LoadedPartition partition) {
        if (partition.revision() < table.revision()) {
            outcomes.keep(table, now.epochMillis());
            outcomesDueMillis = now.monotonicMillis();
        }
        table.load(partition);
        if (!table.isComplete()) {
            // A booking of the missing segment would run again.
            everLoaded = false;
            return loadFailed(now);
        }
        loading = false;
        loadNeeded = false;
        everLoaded = true;
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
        reconsiderAll(now);
        continueWork(now);
        return drain();
    }

    /** The partition could not be read. */
    public List<Effect> loadFailed(Now now) {
        loading = false;
        platformFailed(now);
        inquiries.waitingForReload().forEach(key -> askService(now, key));
        return drain();
    }

    /** The swap took effect. */
    public List<Effect> swapWon(Now now, long revision) {
        batch.sealed.ifPresent(write -> table.addSealed(write.name(), write.segment()));
        table.adopt(revision, batch.open);
        outage = false;
        finishBatch();
        reconsiderAll(now);
        continueWork(now);
        return drain();
    }

    /** Another router wrote the segment first; the swap had no effect. */
    public List<Effect> swapLost(Now now) {
        requeueBatch();
        loadNeeded = true;
        continueWork(now);
        return drain();
    }

    /** The platform is out; the swap had no effect. */
    public List<Effect> swapRefused(Now now) {
        platformFailed(now);
        return drain();
    }

    /** The swap may have taken effect. */
    public List<Effect> swapUnknown(Now now) {
        batch.allClaims().forEach(claim -> claim.maybeWritten = true);
        loadNeeded = true;
        startLoad();
        return drain();
    }

    /** The claimant, or the membership, told about an attempt. */
    public List<Effect> claimantAnswered(
            Now now, BookingKey key, AttemptId attempt, ClaimantState state, Optional<Answer> answer) {
        if (!inquiries.isAt(key, attempt, Inquiries.Stage.CLAIMANT)) {
            return drain();
        }
        switch (state) {
            case FINISHED -> {
                inquiries.end(key, now.monotonicMillis());
                addOutcome(now, NO_TICKET, key, attempt, Outcome.answered(answer.orElseThrow()));
            }
            case NEVER_SENT -> {
                inquiries.end(key, now.monotonicMillis());
                addOutcome(now, NO_TICKET, key, attempt, Outcome.released());
            }
            case SENT_WITHOUT_ANSWER -> {
                addOutcome(now, NO_TICKET, key, attempt, Outcome.unknown());
                askService(now, key);
            }
            case GONE -> reloadForInquiry(now, key);
            default -> endWithoutResult(now, key, attempt, state);
        }
        return drain();
    }

    /** The service told whether the call ran; an empty answer means that this is not known. */
    public List<Effect> statusAnswered(Now now, BookingKey key, AttemptId attempt, Optional<Answer> answer) {
        if (inquiries.isAt(key, attempt, Inquiries.Stage.STATUS)) {
            inquiries.end(key, now.monotonicMillis());
            if (answer.isPresent()) {
                addOutcome(now, NO_TICKET, key, attempt, Outcome.answered(answer.get()));
            } else {
                wake(now, key);
            }
        }
        return drain();
    }

    /** A long answer was written, or not. */
    public List<Effect> answerStored(Now now, BookingKey key, AttemptId attempt, boolean stored) {
        PendingOutcome pending = outcomes.get(key);
        if (pending != null && pending.attempt.equals(attempt)) {
            if (stored) {
                pending.writable = true;
                scheduleOutcomes(now);
            } else {
                replyNotDurable(pending);
            }
        }
        return drain();
    }

    /** A long answer was read; empty when it could not be read. */
    public List<Effect> answerLoaded(Now now, AttemptId attempt, Optional<Answer> answer) {
        answer.ifPresent(present -> table.cacheAnswer(attempt, present));
        List<PendingClaim> waiters = waitingForAnswer.remove(attempt);
        if (waiters != null) {
            Verdict verdict = answer.isPresent() ? Verdict.FINISHED : Verdict.UNKNOWN;
            waiters.forEach(claim -> reply(claim, verdict, Optional.of(attempt), answer));
        }
        return drain();
    }

    /** Periodic event, about once a second: repeats inquiries for claims that wait, and writes that failed. */
    public List<Effect> tick(Now now) {
        inquiries.forgetOld(now.monotonicMillis());
        for (BookingKey key : List.copyOf(waiting.keySet())) {
            Booking booking = find(key, now);
            if (booking != null) {
                inquire(now, booking);
            }
        }
        outcomes.forEach((key, pending) -> {
            if (!pending.writable && pending.tickets.isEmpty()) {
                storeAnswer(key, pending);
            }
        });
        continueWork(now);
        return drain();
    }

    /** Whether the partition was read since the router became its owner. */
    public boolean isLoaded() {
        return everLoaded;
    }

    /** Whether nothing is waiting or unrecorded, so that the memory of the partition may be given up. */
    public boolean isIdle() {
        return claims.isEmpty() && outcomes.isEmpty() && batch == null && !loading;
    }

    private List<Effect> drain() {
        List<Effect> result = effects;
        effects = new ArrayList<>();
        return result;
    }

    // What is recorded, corrected by outcomes that are known here and not recorded yet.
    private Booking find(BookingKey key, Now now) {
        return outcomes.correct(key, table.find(key, now.epochMillis()), now.epochMillis());
    }

    private void consider(Now now, PendingClaim claim) {
        Booking booking = find(claim.key, now);
        boolean answered = booking != null && booking.state() == BookingState.FINISHED;
        if (loadNeeded && !answered) {
            if (!outage) {
                queued.add(claim);
                continueWork(now);
                return;
            }
            if (!everLoaded) {
                refuseUnread(claim);
                return;
            }
        }
        switch (ClaimDecision.of(booking, claim.attempt, claim.requestDigest)) {
            case WRITE -> {
                if (outage) {
                    refuseUnread(claim);
                } else {
                    queued.add(claim);
                    scheduleClaims(now);
                }
            }
            case GRANT_AGAIN -> reply(claim, Verdict.GRANTED, Optional.of(claim.attempt), Optional.empty());
            case MISMATCH -> reply(claim, Verdict.MISMATCH, Optional.empty(), Optional.empty());
            case GIVE_ANSWER -> giveAnswer(claim, booking);
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

    private void await(Now now, PendingClaim claim, Booking booking) {
        waiting.computeIfAbsent(claim.key, unused -> new ArrayList<>()).add(claim);
        inquire(now, booking);
    }

    private void giveAnswer(PendingClaim claim, Booking booking) {
        Answer answer = table.answer(booking);
        if (answer != null) {
            reply(claim, Verdict.FINISHED, Optional.of(booking.attempt()), Optional.of(answer));
            return;
        }
        List<PendingClaim> waiters = waitingForAnswer.get(booking.attempt());
        if (waiters == null) {
            waiters = new ArrayList<>();
            waitingForAnswer.put(booking.attempt(), waiters);
            effects.add(new Effect.LoadAnswer(claim.key, booking.attempt()));
        }
        waiters.add(claim);
    }

    private void reply(PendingClaim claim, Verdict verdict, Optional<AttemptId> claimant, Optional<Answer> answer) {
        if (!claim.replied) {
            claim.replied = true;
            claims.remove(claim.ticket);
            effects.add(new Effect.Reply(claim.ticket, verdict, claimant, answer));
        }
    }

    private void refuse(PendingClaim claim) {
        reply(claim, Verdict.UNAVAILABLE, claim.written(), Optional.empty());
    }

    // An earlier attempt may have run, so it must not be said that the call did not run. What was read before an outage
    // does not show it: another router may have acted as owner and written since.
    private void refuseUnread(PendingClaim claim) {
        reply(claim, Verdict.UNKNOWN, claim.written(), Optional.empty());
    }

    private void addOutcome(Now now, long ticket, BookingKey key, AttemptId attempt, Outcome outcome) {
        boolean added = outcomes.add(key, attempt, outcome);
        PendingOutcome pending = outcomes.get(key);
        if (added && !pending.writable) {
            storeAnswer(key, pending);
        }
        if (ticket != NO_TICKET) {
            pending.tickets.add(ticket);
        }
        boolean released = outcome.kind() == Outcome.Kind.RELEASED;
        if (released) {
            dropQueued(attempt);
        }
        if (released && table.find(key, now.epochMillis()) == null) {
            // Another owner may have written the claim that is released.
            loadNeeded = true;
        }
        wake(now, key);
        if (outage) {
            replyNotDurable(pending);
        } else {
            scheduleOutcomes(now);
        }
    }

    private void storeAnswer(BookingKey key, PendingOutcome pending) {
        Answer answer = pending.outcome.answer().orElseThrow();
        table.cacheAnswer(pending.attempt, answer);
        effects.add(new Effect.StoreAnswer(key, pending.attempt, answer));
    }

    private void dropQueued(AttemptId attempt) {
        for (PendingClaim claim : List.copyOf(queued)) {
            if (claim.attempt.equals(attempt)) {
                queued.remove(claim);
                refuse(claim);
            }
        }
    }

    private void replyNotDurable(PendingOutcome pending) {
        pending.tickets.forEach(ticket -> effects.add(new Effect.ReplyOutcome(ticket, false)));
        pending.tickets.clear();
    }

    private void wake(Now now, BookingKey key) {
        List<PendingClaim> waiters = waiting.remove(key);
        if (waiters != null) {
            waiters.forEach(claim -> consider(now, claim));
        }
    }

    private void reconsiderAll(Now now) {
        // These claims have waited already; they are committed without another delay.
        reconsidering = true;
        List<PendingClaim> again = queued;
        queued = new ArrayList<>();
        again.stream().filter(claim -> !claim.replied).forEach(claim -> consider(now, claim));
        List.copyOf(waiting.keySet()).forEach(key -> wake(now, key));
        reconsidering = false;
    }

    private void scheduleClaims(Now now) {
        if (loadNeeded || batch != null || loading) {
            continueWork(now);
        } else if (!commitScheduled && !reconsidering) {
            commitScheduled = true;
            effects.add(new Effect.CommitSoon(rules.groupCommitMillis()));
        }
    }

    private void scheduleOutcomes(Now now) {
        if (outcomesDueMillis == Long.MAX_VALUE) {
            outcomesDueMillis = now.monotonicMillis() + rules.outcomeCommitMillis();
            effects.add(new Effect.CommitSoon(rules.outcomeCommitMillis()));
        }
        if (loadNeeded && !outage) {
            continueWork(now);
        }
    }

    // Does the next platform call if one is due and none is running.
    private void continueWork(Now now) {
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

    private void startCommit(Now now) {
        BatchBuilder builder = new BatchBuilder(rules, table, now);
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
                consider(now, claim);
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
        settle(builder.outcomes());
        // Running calls alone fill the segment: there is no room for more until one of them ends.
        queued.forEach(this::refuse);
        queued.clear();
    }

    private void settle(Map<BookingKey, PendingOutcome> recorded) {
        recorded.forEach((key, pending) -> {
            outcomes.remove(key, pending);
            pending.tickets.forEach(ticket -> effects.add(new Effect.ReplyOutcome(ticket, true)));
            pending.tickets.clear();
        });
    }

    private void finishBatch() {
        Batch done = batch;
        batch = null;
        for (PendingClaim claim : done.allClaims()) {
            reply(claim, Verdict.GRANTED, Optional.of(claim.attempt), Optional.empty());
        }
        settle(done.outcomes);
        if (!done.expiredSealed.isEmpty()) {
            effects.add(new Effect.DeleteSealed(List.copyOf(done.expiredSealed)));
        }
    }

    private void requeueBatch() {
        List<PendingClaim> again = new ArrayList<>(batch.allClaims());
        if (!batch.outcomes.isEmpty()) {
            outcomesDueMillis = Long.MIN_VALUE;
        }
        batch = null;
        again.addAll(queued);
        queued = again;
    }

    private void platformFailed(Now now) {
        outage = true;
        loadNeeded = true;
        effects.add(new Effect.CommitSoon(rules.outagePauseMillis()));
        if (batch != null) {
            requeueBatch();
        }
        List<PendingClaim> refused = queued;
        queued = new ArrayList<>();
        for (PendingClaim claim : refused) {
            if (everLoaded) {
                consider(now, claim);
            } else {
                refuseUnread(claim);
            }
        }
        outcomes.all().values().forEach(this::replyNotDurable);
        outcomesDueMillis = outcomes.isEmpty() ? Long.MAX_VALUE : now.monotonicMillis();
    }

    private void inquire(Now now, Booking booking) {
        if (inquiries.begin(booking.key(), booking.attempt(), now.monotonicMillis())) {
            effects.add(new Effect.QueryClaimant(booking.key(), booking.attempt()));
        }
    }

    private void reloadForInquiry(Now now, BookingKey key) {
        if (outage) {
            askService(now, key);
            return;
        }
        inquiries.move(key, Inquiries.Stage.RELOAD);
        loadNeeded = true;
        continueWork(now);
    }

    // The claimant forgets an attempt only after its outcome is recorded, so the answer "gone" is final only if the
    // claim is still open in a segment that was read afterwards.
    private void inquireAfterReload(Now now, BookingKey key) {
        Booking booking = find(key, now);
        boolean open = booking != null
                && booking.state() != BookingState.FINISHED
                && booking.attempt().equals(inquiries.attempt(key));
        if (open) {
            askService(now, key);
        } else {
            inquiries.end(key, now.monotonicMillis());
        }
    }

    private void askService(Now now, BookingKey key) {
        AttemptId attempt = inquiries.attempt(key);
        Booking booking = find(key, now);
        if (booking != null && booking.state() == BookingState.CLAIMED) {
            addOutcome(now, NO_TICKET, key, attempt, Outcome.unknown());
        }
        inquiries.move(key, Inquiries.Stage.STATUS);
        effects.add(new Effect.CallStatus(key, attempt));
    }

    private void endWithoutResult(Now now, BookingKey key, AttemptId attempt, ClaimantState state) {
        Booking booking = find(key, now);
        boolean unknown = booking != null
                && booking.state() == BookingState.OUTCOME_UNKNOWN
                && booking.attempt().equals(attempt);
        if (unknown && state == ClaimantState.UNREACHABLE) {
            askService(now, key);
            return;
        }
        inquiries.end(key, now.monotonicMillis());
        if (unknown) {
            wake(now, key);
        }
    }
}
