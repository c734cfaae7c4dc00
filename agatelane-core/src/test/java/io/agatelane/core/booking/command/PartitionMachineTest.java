package io.agatelane.core.booking.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.Booking;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.BookingLimits;
import io.agatelane.core.booking.BookingState;
import io.agatelane.core.booking.ClaimantState;
import io.agatelane.core.booking.LoadedPartition;
import io.agatelane.core.booking.Outcome;
import io.agatelane.core.booking.Segment;
import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.booking.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the state machine of one partition event by event. */
public class PartitionMachineTest {
    private static final BookingKey KEY = new BookingKey("aargau", "permits", "key-1");
    private static final BookingKey OTHER = new BookingKey("aargau", "permits", "key-2");
    private static final AttemptId FIRST = new AttemptId("vm-1", 1, 1);
    private static final AttemptId SECOND = new AttemptId("vm-2", 1, 1);
    private static final String DIGEST = "ab";

    private PartitionMachine machine;
    private long nowMillis;

    @BeforeMethod
    public void start() {
        machine = new PartitionMachine(BookingLimits.DEFAULT, "vm-1-1");
        nowMillis = 0;
    }

    /** Guards against one store write per claim: claims that arrive together must share a compare-and-swap. */
    @Test
    public void claimsShareOneSwap() {
        load(Segment.empty(), 0);
        machine.claim(now(), 1, KEY, FIRST, DIGEST);
        machine.claim(now(), 2, OTHER, SECOND, DIGEST);
        Effect.Swap swap = only(Effect.Swap.class, machine.commitDue(now()));
        assertEquals(swap.expectedRevision(), 0);
        assertEquals(swap.open().entries().size(), 2);
        List<Effect> effects = machine.swapSucceeded(now(), 1);
        assertEquals(reply(effects, 1).verdict(), Verdict.GRANTED);
        assertEquals(reply(effects, 2).verdict(), Verdict.GRANTED);
    }

    /** Guards against an attempt that waits for itself when it claims again after a lost response. */
    @Test
    public void sameAttemptIsGrantedTwice() {
        grant(KEY, FIRST, 1);
        assertEquals(reply(machine.claim(now(), 5, KEY, FIRST, DIGEST), 5).verdict(), Verdict.GRANTED);
    }

    /** Guards against running a different request that reuses the key, and against taking a retry for such a request. */
    @Test
    public void otherRequestWithTheKeyIsRefused() {
        grant(KEY, FIRST, 1);
        assertEquals(reply(machine.claim(now(), 5, KEY, SECOND, "cd"), 5).verdict(), Verdict.MISMATCH);
    }

    /** Guards against retries that call the platform, and against a response that is held back until it is recorded. */
    @Test
    public void retriesJoinTheRunningAttempt() {
        grant(KEY, FIRST, 1);
        List<Effect> waits = machine.claim(now(), 5, KEY, SECOND, DIGEST);
        assertEquals(only(Effect.QueryClaimant.class, waits).attempt(), FIRST);
        machine.claimantReported(now(), KEY, FIRST, ClaimantState.RUNNING, Optional.empty());
        assertTrue(machine.claim(now(), 6, KEY, SECOND, DIGEST).isEmpty(), "no second inquiry at once");
        List<Effect> effects = machine.outcome(now(), 7, KEY, FIRST, Outcome.finished(response(10)));
        assertEquals(reply(effects, 5).response(), Optional.of(response(10)));
        assertEquals(reply(effects, 6).response(), Optional.of(response(10)));
        assertTrue(none(Effect.ReplyOutcome.class, effects), "not recorded yet");
        List<Effect> late = machine.claim(now(), 8, KEY, new AttemptId("vm-3", 1, 1), DIGEST);
        assertEquals(reply(late, 8).verdict(), Verdict.FINISHED);
    }

    /** Guards against an attempt that never ends and keeps its caller waiting, or is reported as not having run. */
    @Test
    public void waitEndsWithInProgress() {
        grant(KEY, FIRST, 1);
        machine.claim(now(), 5, KEY, SECOND, DIGEST);
        Effect.Reply reply = reply(machine.waitExpired(now(), 5), 5);
        assertEquals(reply.verdict(), Verdict.IN_PROGRESS);
        assertEquals(reply.claimant(), Optional.of(FIRST));
    }

    /** Guards against treating the router's own write as another router's after the store's response was lost. */
    @Test
    public void ownWriteIsRecognisedByItsWriter() {
        load(Segment.empty(), 0);
        machine.claim(now(), 1, KEY, FIRST, DIGEST);
        Effect.Swap swap = only(Effect.Swap.class, machine.commitDue(now()));
        assertEquals(machine.swapOutcomeUnknown(now()).size(), 1);
        List<Effect> effects = machine.loaded(now(), new LoadedPartition(1, swap.open(), Map.of()));
        assertEquals(reply(effects, 1).verdict(), Verdict.GRANTED);
    }

    /** Guards against a claim that is granted although its write with an unknown outcome had no effect. */
    @Test
    public void unknownWriteWithoutEffectIsRepeated() {
        load(Segment.empty(), 0);
        machine.claim(now(), 1, KEY, FIRST, DIGEST);
        machine.commitDue(now());
        machine.swapOutcomeUnknown(now());
        List<Effect> effects = machine.loaded(now(), new LoadedPartition(0, Segment.empty(), Map.of()));
        assertTrue(none(Effect.Reply.class, effects), "nothing is granted yet");
        assertEquals(only(Effect.Swap.class, effects).expectedRevision(), 0);
        Effect.Reply refused = reply(machine.swapFailedByOutage(now()), 1);
        assertEquals(refused.verdict(), Verdict.UNKNOWN);
        assertEquals(refused.claimant(), Optional.of(FIRST), "the first write may still take effect");
    }

    /** Guards against two owners that both grant: the one whose compare-and-swap fails must see the other's claim. */
    @Test
    public void claimIsEvaluatedAgainAfterAConflictingWrite() {
        load(Segment.empty(), 0);
        machine.claim(now(), 1, KEY, FIRST, DIGEST);
        machine.commitDue(now());
        machine.swapConflicted(now());
        List<Effect> effects = machine.loaded(now(), new LoadedPartition(3, segment(claimed(KEY, SECOND)), Map.of()));
        assertTrue(none(Effect.Reply.class, effects), "the claim waits for the other attempt");
        assertEquals(only(Effect.QueryClaimant.class, effects).attempt(), SECOND);
    }

    /** Guards against the reply "not run" for a booking that may have run before the platform became unavailable. */
    @Test
    public void outageRepliesFromMemoryOnly() {
        List<Effect> effects = machine.claim(now(), 1, KEY, FIRST, DIGEST);
        only(Effect.Load.class, effects);
        assertEquals(reply(machine.loadFailed(now()), 1).verdict(), Verdict.UNKNOWN);
        machine.commitDue(now());
        Booking done = claimed(OTHER, SECOND).withFinished(Optional.of(response(10)));
        machine.loaded(now(), new LoadedPartition(1, segment(done), Map.of()));
        machine.claim(now(), 2, KEY, FIRST, DIGEST);
        machine.commitDue(now());
        // Another router may have acted as owner, and run the booking, after the partition was read here.
        assertEquals(reply(machine.swapFailedByOutage(now()), 2).verdict(), Verdict.UNKNOWN);
        assertEquals(reply(machine.claim(now(), 3, KEY, FIRST, DIGEST), 3).verdict(), Verdict.UNKNOWN);
        assertEquals(reply(machine.claim(now(), 4, OTHER, FIRST, DIGEST), 4).verdict(), Verdict.FINISHED);
    }

    /** Guards against a claim that overwrites an outcome received while the claim was queued. */
    @Test
    public void queuedClaimSeesALateOutcome() {
        load(Segment.empty(), 0);
        machine.claim(now(), 1, KEY, SECOND, DIGEST);
        machine.outcome(now(), 2, KEY, FIRST, Outcome.finished(response(10)));
        List<Effect> effects = machine.commitDue(now());
        assertEquals(reply(effects, 1).verdict(), Verdict.FINISHED);
        Segment written = only(Effect.Swap.class, effects).open();
        assertEquals(written.entries().get(0).state(), BookingState.FINISHED);
    }

    /** Guards against a second run after the claimant was lost, and against a missing status query to the service. */
    @Test
    public void lostClaimantIsResolvedByTheService() {
        grant(KEY, FIRST, 1);
        machine.claim(now(), 5, KEY, SECOND, DIGEST);
        List<Effect> gone = machine.claimantReported(now(), KEY, FIRST, ClaimantState.GONE, Optional.empty());
        only(Effect.Load.class, gone);
        Segment still = segment(claimed(KEY, FIRST));
        List<Effect> effects = machine.loaded(now(), new LoadedPartition(1, still, Map.of()));
        only(Effect.QueryServiceStatus.class, effects);
        Effect.Reply unknown = reply(machine.statusReceived(now(), KEY, FIRST, Optional.empty()), 5);
        assertEquals(unknown.verdict(), Verdict.UNKNOWN);
        nowMillis += 2_000;
        machine.claim(now(), 6, KEY, SECOND, DIGEST);
        machine.claimantReported(now(), KEY, FIRST, ClaimantState.UNREACHABLE, Optional.empty());
        Effect.Reply ran = reply(machine.statusReceived(now(), KEY, FIRST, Optional.of(response(3))), 6);
        assertEquals(ran.response(), Optional.of(response(3)));
    }

    /** Guards against a segment that grows without bound, and against losing a sealed booking. */
    @Test
    public void fullSegmentIsSealed() {
        long revision = 0;
        load(Segment.empty(), revision);
        Effect.Swap swap = null;
        for (int i = 0; i < 6; i++) {
            BookingKey key = new BookingKey("aargau", "permits", "sealed-" + i);
            AttemptId attempt = new AttemptId("vm-1", 1, 10 + i);
            machine.claim(now(), i, key, attempt, DIGEST);
            swap = only(Effect.Swap.class, machine.commitDue(now()));
            machine.swapSucceeded(now(), ++revision);
            if (swap.sealed().isPresent()) {
                break;
            }
            machine.outcome(now(), 100 + i, key, attempt, Outcome.finished(response(15_000)));
            nowMillis += 1_000;
            machine.commitDue(now());
            machine.swapSucceeded(now(), ++revision);
        }
        assertEquals(swap.sealed().orElseThrow().name(), "0-" + swap.expectedRevision());
        assertEquals(swap.open().sealed().size(), 1);
        assertFalse(swap.open().entries().isEmpty(), "the running claim stays in the open segment");
        BookingKey first = new BookingKey("aargau", "permits", "sealed-0");
        assertEquals(reply(machine.claim(now(), 50, first, SECOND, DIGEST), 50).verdict(), Verdict.FINISHED);
        nowMillis += BookingLimits.DEFAULT.retentionMillis();
        machine.claim(now(), 51, first, SECOND, DIGEST);
        Effect.Swap late = only(Effect.Swap.class, machine.commitDue(now()));
        assertTrue(late.open().sealed().isEmpty(), "the retention time ended");
        assertEquals(
                only(Effect.DeleteSealed.class, machine.swapSucceeded(now(), ++revision))
                        .names()
                        .size(),
                1);
    }

    /** Guards against a second run after the platform was restored to a state before the first one. */
    @Test
    public void bookingsSurviveARestoreOfThePlatform() {
        grant(KEY, FIRST, 5);
        machine.outcome(now(), 5, KEY, FIRST, Outcome.finished(response(10)));
        nowMillis += 1_000;
        machine.commitDue(now());
        machine.swapSucceeded(now(), 6);
        machine.claim(now(), 6, OTHER, FIRST, DIGEST);
        machine.commitDue(now());
        machine.swapSucceeded(now(), 7);
        only(Effect.Load.class, machine.ownershipGained(now()));
        List<Effect> effects = machine.loaded(now(), new LoadedPartition(0, Segment.empty(), Map.of()));
        assertEquals(only(Effect.Swap.class, effects).open().entries().size(), 2);
        assertEquals(reply(machine.claim(now(), 7, KEY, SECOND, DIGEST), 7).response(), Optional.of(response(10)));
        assertTrue(none(Effect.Reply.class, machine.claim(now(), 8, OTHER, SECOND, DIGEST)), "it may be running");
    }

    /** Guards against long responses in a segment, and against an entry that is recorded before its response. */
    @Test
    public void longResponseIsStoredFirst() {
        grant(KEY, FIRST, 1);
        List<Effect> effects = machine.outcome(now(), 5, KEY, FIRST, Outcome.finished(response(20_000)));
        only(Effect.StoreResponse.class, effects);
        nowMillis += 1_000;
        assertTrue(none(Effect.Swap.class, machine.commitDue(now())), "the response is not stored yet");
        machine.responseStored(now(), KEY, FIRST, true);
        nowMillis += 1_000;
        Effect.Swap swap = only(Effect.Swap.class, machine.commitDue(now()));
        assertEquals(swap.open().entries().get(0).response(), Optional.empty());
    }

    private EventTime now() {
        return new EventTime(nowMillis, 1_700_000_000_000L + nowMillis);
    }

    private void load(Segment open, long revision) {
        only(Effect.Load.class, machine.ownershipGained(now()));
        machine.loaded(now(), new LoadedPartition(revision, open, Map.of()));
    }

    private void grant(BookingKey key, AttemptId attempt, long revision) {
        load(Segment.empty(), 0);
        machine.claim(now(), 0, key, attempt, DIGEST);
        machine.commitDue(now());
        assertEquals(reply(machine.swapSucceeded(now(), revision), 0).verdict(), Verdict.GRANTED);
    }

    private Booking claimed(BookingKey key, AttemptId attempt) {
        return Booking.claimed(key, attempt, DIGEST, now().epochMillis());
    }

    private static Segment segment(Booking... bookings) {
        return new Segment(0, List.of(bookings), List.of(), "another router");
    }

    private static ServiceResponse response(int bytes) {
        return new ServiceResponse(200, "text/plain", new byte[bytes]);
    }

    private static Effect.Reply reply(List<Effect> effects, long ticket) {
        List<Effect.Reply> replies = all(Effect.Reply.class, effects).stream()
                .filter(reply -> reply.ticket() == ticket)
                .toList();
        assertEquals(replies.size(), 1, "replies in " + effects);
        return replies.get(0);
    }

    private static <T> T only(Class<T> type, List<Effect> effects) {
        List<T> found = all(type, effects);
        assertEquals(found.size(), 1, type.getSimpleName() + " in " + effects);
        return found.get(0);
    }

    private static boolean none(Class<?> type, List<Effect> effects) {
        return all(type, effects).isEmpty();
    }

    private static <T> List<T> all(Class<T> type, List<Effect> effects) {
        List<T> found = new ArrayList<>();
        for (Effect effect : effects) {
            if (type.isInstance(effect)) {
                found.add(type.cast(effect));
            }
        }
        return found;
    }
}
