package io.agatelane.node.io.service;

import io.agatelane.core.booking.Answer;
import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.Outcome;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.Executed;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.PeerTransport;
import io.agatelane.node.util.EventLog;
import io.agatelane.wire.peer.AttemptAnswer;
import io.agatelane.wire.peer.AttemptQuery;
import io.agatelane.wire.peer.ClaimRequest;
import io.agatelane.wire.peer.ClaimResponse;
import io.agatelane.wire.peer.OutcomeRequest;
import io.agatelane.wire.peer.PeerFrame;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Claimant's side of the bookings: asks the owner of a partition for claims and reports outcomes until they are
 * recorded. All methods run on the control thread.
 */
final class BookingClient {
    private static final EventLog LOG = EventLog.of(BookingClient.class);
    private static final long OUTCOME_TIMEOUT_MILLIS = 3_000;
    private static final long CLAIM_RETRY_MILLIS = 50;
    private static final long FIRST_RETRY_MILLIS = 200;
    private static final long MAX_RETRY_MILLIS = 2_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int MAX_UNRECORDED = 10_000;
    private static final int MAX_NEVER_SENT = 65_536;

    private final NodeContext context;
    private final PeerTransport peers;
    private final PartitionOwners owners;
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final Map<Long, Boolean> neverSent = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        // An owner that was paused may write a claim long after it was given up; the newest ones are remembered.
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_NEVER_SENT;
        }
    };
    private long nextNumber = 1;
    private int unrecorded;
    private Runnable onRecorded = () -> {};

    BookingClient(NodeContext context, MembershipView membership, PeerTransport peers) {
        this.context = context;
        this.peers = peers;
        this.owners = new PartitionOwners(membership);
    }

    /** Begins to answer questions about attempts of this router. */
    void start() {
        peers.onRequest(PeerFrame.BodyCase.ATTEMPT_QUERY, (from, frame) -> answer(frame.getAttemptQuery()));
    }

    /** Sets what is run each time an outcome was recorded. */
    void onRecorded(Runnable action) {
        this.onRecorded = action;
    }

    /** Number of outcomes and releases that are not recorded yet. */
    int unrecorded() {
        return unrecorded;
    }

    /**
     * Asks for the claim of a booking.
     *
     * @return the granted attempt or the answer of an earlier one; fails with the reason for the refusal
     */
    CompletableFuture<ClaimResult> claim(BookingKey key, String requestDigest, long timeoutMillis) {
        if (unrecorded >= MAX_UNRECORDED) {
            return CompletableFuture.failedFuture(
                    new AgatelaneException(FailureType.OVERLOADED, "too many outcomes are waiting to be recorded")
                            .withExecuted(Executed.UNKNOWN)
                            .withRetryAfterMillis(RETRY_AFTER_MILLIS));
        }
        AttemptId id = new AttemptId(context.settings().vmName(), context.incarnation(), nextNumber++);
        Attempt attempt = new Attempt(id, key, requestDigest);
        attempts.put(id.number(), attempt);
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        long deadlineMillis = context.timers().monotonicMillis() + timeoutMillis;
        askOwner(attempt, deadlineMillis, 0, result);
        return result;
    }

    /** Reports the outcome of a granted attempt, again and again until it is recorded. */
    void record(Attempt attempt, Outcome outcome) {
        attempt.outcome = outcome;
        unrecorded++;
        sendOutcome(attempt, 0, 0);
    }

    private void askOwner(Attempt attempt, long deadlineMillis, int tries, CompletableFuture<ClaimResult> result) {
        long leftMillis = deadlineMillis - context.timers().monotonicMillis();
        if (leftMillis <= 0) {
            giveUp(attempt);
            result.completeExceptionally(
                    new AgatelaneException(FailureType.PEER_UNREACHABLE, "no owner of the booking responded in time")
                            .withRetryAfterMillis(RETRY_AFTER_MILLIS));
            return;
        }
        PeerFrame frame = PeerFrame.newBuilder()
                .setClaimRequest(ClaimRequest.newBuilder()
                        .setKey(BookingCodec.toWire(attempt.key))
                        .setAttempt(BookingCodec.toWire(attempt.id))
                        .setRequestDigest(BookingCodec.digestToWire(attempt.requestDigest)))
                .build();
        Completion.thenOn(
                context.control(), peers.request(owner(attempt.key, tries), frame, leftMillis), (response, failure) -> {
                    if (failure == null) {
                        decide(attempt, response.getClaimResponse(), result);
                        return;
                    }
                    attempt.maybeClaimed = true;
                    context.timers()
                            .after(CLAIM_RETRY_MILLIS, () -> askOwner(attempt, deadlineMillis, tries + 1, result));
                });
    }

    private void decide(Attempt attempt, ClaimResponse response, CompletableFuture<ClaimResult> result) {
        LOG.event("booking_claim_decided")
                .with("service", attempt.key.service())
                .with("account", attempt.key.clientAccount())
                .with("attempt", Long.toString(attempt.id.number()))
                .with("verdict", response.getVerdict())
                .info();
        if (response.getVerdict() == ClaimResponse.Verdict.GRANTED) {
            result.complete(ClaimResult.granted(attempt));
            return;
        }
        boolean own = response.hasClaimant()
                && BookingCodec.fromWire(response.getClaimant()).equals(attempt.id);
        attempt.maybeClaimed |= own;
        giveUp(attempt);
        switch (response.getVerdict()) {
            case FINISHED -> {
                Answer answer = BookingCodec.fromWire(response.getAnswer());
                result.complete(ClaimResult.finished(answer));
            }
            case MISMATCH -> result.completeExceptionally(new AgatelaneException(
                    FailureType.IDEMPOTENCY_KEY_REUSED, "the Idempotency-Key was used with another request"));
            case IN_PROGRESS -> result.completeExceptionally(
                    new AgatelaneException(FailureType.BOOKING_IN_PROGRESS, "an earlier call with this key is running")
                            .withRetryAfterMillis(RETRY_AFTER_MILLIS));
            case UNAVAILABLE -> result.completeExceptionally(platformOut());
            default -> result.completeExceptionally(unknown(response, own));
        }
    }

    private static AgatelaneException unknown(ClaimResponse response, boolean own) {
        if (!response.hasClaimant() || own) {
            return platformOut().withExecuted(Executed.UNKNOWN);
        }
        return new AgatelaneException(
                        FailureType.OUTCOME_UNKNOWN, "an earlier call with this key may have run; it is not run again")
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    private static AgatelaneException platformOut() {
        return new AgatelaneException(FailureType.PLATFORM_UNAVAILABLE, "the claim of the booking cannot be recorded")
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    // The attempt is never sent after this; a claim that may have been written is released.
    private void giveUp(Attempt attempt) {
        if (attempt.maybeClaimed) {
            record(attempt, Outcome.released());
        } else {
            forget(attempt);
        }
    }

    private void sendOutcome(Attempt attempt, int rank, int failures) {
        OutcomeRequest.Builder request = OutcomeRequest.newBuilder()
                .setKey(BookingCodec.toWire(attempt.key))
                .setAttempt(BookingCodec.toWire(attempt.id));
        switch (attempt.outcome.kind()) {
            case ANSWERED -> request.setAnswer(
                    BookingCodec.toWire(attempt.outcome.answer().orElseThrow()));
            case RELEASED -> request.setReleased(true);
            default -> request.setUnknown(true);
        }
        PeerFrame frame = PeerFrame.newBuilder().setOutcomeRequest(request).build();
        Completion.thenOn(
                context.control(),
                peers.request(owner(attempt.key, rank), frame, OUTCOME_TIMEOUT_MILLIS),
                (response, failure) -> {
                    if (failure == null && response.getOutcomeResponse().getDurable()) {
                        unrecorded--;
                        forget(attempt);
                        onRecorded.run();
                        return;
                    }
                    int nextRank = failure == null ? rank : rank + 1;
                    long delayMillis = Math.min(MAX_RETRY_MILLIS, FIRST_RETRY_MILLIS << Math.min(failures, 4));
                    context.timers().after(delayMillis, () -> sendOutcome(attempt, nextRank, failures + 1));
                });
    }

    private void forget(Attempt attempt) {
        attempts.remove(attempt.id.number());
        if (attempt.outcome == null || attempt.outcome.kind() == Outcome.Kind.RELEASED) {
            neverSent.put(attempt.id.number(), true);
        }
    }

    // After a failed request the next router in rank takes the place of the owner.
    private String owner(BookingKey key, int tries) {
        return owners.byRank(key.partition(), tries);
    }

    private CompletableFuture<PeerFrame> answer(AttemptQuery query) {
        AttemptId id = BookingCodec.fromWire(query.getAttempt());
        if (!id.vmName().equals(context.settings().vmName())) {
            return CompletableFuture.failedFuture(
                    new AgatelaneException(FailureType.NOT_FOUND, "the attempt belongs to " + id.vmName()));
        }
        AttemptAnswer.Builder answer = AttemptAnswer.newBuilder().setState(AttemptAnswer.State.NOT_KNOWN);
        if (id.vmIncarnation() == context.incarnation()) {
            Attempt attempt = attempts.get(id.number());
            if (attempt != null) {
                describe(attempt, answer);
            } else if (neverSent.containsKey(id.number())) {
                answer.setState(AttemptAnswer.State.NEVER_SENT);
            }
        }
        return CompletableFuture.completedFuture(
                PeerFrame.newBuilder().setAttemptAnswer(answer).build());
    }

    private static void describe(Attempt attempt, AttemptAnswer.Builder answer) {
        if (attempt.outcome == null) {
            answer.setState(AttemptAnswer.State.RUNNING);
            return;
        }
        switch (attempt.outcome.kind()) {
            case ANSWERED -> {
                answer.setState(AttemptAnswer.State.FINISHED);
                answer.setAnswer(BookingCodec.toWire(attempt.outcome.answer().orElseThrow()));
            }
            case RELEASED -> answer.setState(AttemptAnswer.State.NEVER_SENT);
            default -> answer.setState(AttemptAnswer.State.SENT_WITHOUT_ANSWER);
        }
    }

    /** Result of a claim: exactly one of the two is present. */
    record ClaimResult(Optional<Attempt> granted, Optional<Answer> finished) {
        static ClaimResult granted(Attempt attempt) {
            return new ClaimResult(Optional.of(attempt), Optional.empty());
        }

        static ClaimResult finished(Answer answer) {
            return new ClaimResult(Optional.empty(), Optional.of(answer));
        }
    }
}
