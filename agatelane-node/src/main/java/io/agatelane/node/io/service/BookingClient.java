package io.agatelane.node.io.service;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.Outcome;
import io.agatelane.core.booking.ServiceResponse;
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
 * Claimant's side of the bookings: requests claims from the router that owns the partition of a booking, and reports
 * outcomes until that router has recorded them. All methods run on the control thread.
 */
final class BookingClient {
    private static final EventLog LOG = EventLog.of(BookingClient.class);
    private static final long OUTCOME_TIMEOUT_MILLIS = 3_000;
    private static final long CLAIM_RETRY_MILLIS = 50;
    private static final long FIRST_OUTCOME_RETRY_MILLIS = 200;
    private static final long MAX_OUTCOME_RETRY_MILLIS = 2_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int MAX_UNRECORDED_OUTCOMES = 10_000;
    private static final int MAX_NEVER_SENT_ATTEMPTS = 65_536;

    private final NodeContext context;
    private final PeerTransport peers;
    private final PartitionOwners owners;
    private final Map<Long, ServiceAttempt> attempts = new HashMap<>();
    private final Map<Long, Boolean> neverSentAttempts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        // A paused owner may write a claim long after its attempt was abandoned, and owners query this router about
        // such attempts. Only the most recent ones are remembered.
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_NEVER_SENT_ATTEMPTS;
        }
    };
    private long nextNumber = 1;
    private int unrecordedOutcomes;
    private Runnable onRecorded = () -> {};

    BookingClient(NodeContext context, MembershipView membership, PeerTransport peers) {
        this.context = context;
        this.peers = peers;
        this.owners = new PartitionOwners(membership);
    }

    /** Begins to respond to queries of partition owners about attempts of this router. */
    void start() {
        peers.onRequest(PeerFrame.BodyCase.ATTEMPT_QUERY, (from, frame) -> handleAttemptQuery(frame.getAttemptQuery()));
    }

    /** Sets the action to run each time an owner confirms that an outcome is recorded. */
    void onRecorded(Runnable action) {
        this.onRecorded = action;
    }

    /** Returns the number of outcomes, releases among them, that no owner has confirmed as recorded yet. */
    int unrecordedCount() {
        return unrecordedOutcomes;
    }

    /**
     * Requests the claim of a booking from the owner of its partition.
     *
     * @return the granted attempt, or the response of an earlier attempt; fails with the reason for a refusal
     */
    CompletableFuture<ClaimResult> claim(BookingKey key, String requestDigest, long timeoutMillis) {
        if (unrecordedOutcomes >= MAX_UNRECORDED_OUTCOMES) {
            return CompletableFuture.failedFuture(
                    new AgatelaneException(FailureType.OVERLOADED, "too many outcomes are waiting to be recorded")
                            .withExecuted(Executed.UNKNOWN)
                            .withRetryAfterMillis(RETRY_AFTER_MILLIS));
        }
        AttemptId id = new AttemptId(context.settings().vmName(), context.incarnation(), nextNumber++);
        ServiceAttempt attempt = new ServiceAttempt(id, key, requestDigest);
        attempts.put(id.number(), attempt);
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        long deadlineMillis = context.timers().monotonicMillis() + timeoutMillis;
        requestClaim(attempt, deadlineMillis, 0, result);
        return result;
    }

    /** Reports the outcome of an attempt, and repeats the report until an owner confirms that it is recorded. */
    void record(ServiceAttempt attempt, Outcome outcome) {
        attempt.outcome = outcome;
        unrecordedOutcomes++;
        sendOutcome(attempt, 0, 0);
    }

    private void requestClaim(
            ServiceAttempt attempt, long deadlineMillis, int rank, CompletableFuture<ClaimResult> result) {
        long remainingMillis = deadlineMillis - context.timers().monotonicMillis();
        if (remainingMillis <= 0) {
            abandon(attempt);
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
                context.control(),
                peers.request(ownerByRank(attempt.key, rank), frame, remainingMillis),
                (response, failure) -> {
                    if (failure == null) {
                        handleClaimResponse(attempt, response.getClaimResponse(), result);
                        return;
                    }
                    attempt.maybeClaimed = true;
                    context.timers()
                            .after(CLAIM_RETRY_MILLIS, () -> requestClaim(attempt, deadlineMillis, rank + 1, result));
                });
    }

    private void handleClaimResponse(
            ServiceAttempt attempt, ClaimResponse response, CompletableFuture<ClaimResult> result) {
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
        boolean ownClaim = response.hasClaimant()
                && BookingCodec.fromWire(response.getClaimant()).equals(attempt.id);
        attempt.maybeClaimed |= ownClaim;
        abandon(attempt);
        switch (response.getVerdict()) {
            case FINISHED -> {
                ServiceResponse earlier = BookingCodec.fromWire(response.getAnswer());
                result.complete(ClaimResult.finished(earlier));
            }
            case MISMATCH -> result.completeExceptionally(new AgatelaneException(
                    FailureType.IDEMPOTENCY_KEY_REUSED, "the Idempotency-Key was used with another request"));
            case IN_PROGRESS -> result.completeExceptionally(
                    new AgatelaneException(FailureType.BOOKING_IN_PROGRESS, "an earlier call with this key is running")
                            .withRetryAfterMillis(RETRY_AFTER_MILLIS));
            case UNAVAILABLE -> result.completeExceptionally(platformUnavailable());
            default -> result.completeExceptionally(outcomeUnknown(response, ownClaim));
        }
    }

    private static AgatelaneException outcomeUnknown(ClaimResponse response, boolean ownClaim) {
        if (!response.hasClaimant() || ownClaim) {
            return platformUnavailable().withExecuted(Executed.UNKNOWN);
        }
        return new AgatelaneException(
                        FailureType.OUTCOME_UNKNOWN, "an earlier call with this key may have run; it is not run again")
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    private static AgatelaneException platformUnavailable() {
        return new AgatelaneException(FailureType.PLATFORM_UNAVAILABLE, "the claim of the booking cannot be recorded")
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    // An abandoned attempt is never sent to the service, so a claim that may have been written for it is released.
    private void abandon(ServiceAttempt attempt) {
        if (attempt.maybeClaimed) {
            record(attempt, Outcome.released());
        } else {
            removeAttempt(attempt);
        }
    }

    private void sendOutcome(ServiceAttempt attempt, int rank, int failures) {
        OutcomeRequest.Builder request = OutcomeRequest.newBuilder()
                .setKey(BookingCodec.toWire(attempt.key))
                .setAttempt(BookingCodec.toWire(attempt.id));
        switch (attempt.outcome.kind()) {
            case FINISHED -> request.setAnswer(
                    BookingCodec.toWire(attempt.outcome.response().orElseThrow()));
            case RELEASED -> request.setReleased(true);
            default -> request.setUnknown(true);
        }
        PeerFrame frame = PeerFrame.newBuilder().setOutcomeRequest(request).build();
        Completion.thenOn(
                context.control(),
                peers.request(ownerByRank(attempt.key, rank), frame, OUTCOME_TIMEOUT_MILLIS),
                (response, failure) -> {
                    if (failure == null && response.getOutcomeResponse().getDurable()) {
                        unrecordedOutcomes--;
                        removeAttempt(attempt);
                        onRecorded.run();
                        return;
                    }
                    int nextRank = failure == null ? rank : rank + 1;
                    long delayMillis =
                            Math.min(MAX_OUTCOME_RETRY_MILLIS, FIRST_OUTCOME_RETRY_MILLIS << Math.min(failures, 4));
                    context.timers().after(delayMillis, () -> sendOutcome(attempt, nextRank, failures + 1));
                });
    }

    private void removeAttempt(ServiceAttempt attempt) {
        attempts.remove(attempt.id.number());
        if (attempt.outcome == null || attempt.outcome.kind() == Outcome.Kind.RELEASED) {
            neverSentAttempts.put(attempt.id.number(), true);
        }
    }

    // After a failed request the router with the next rank acts as the owner.
    private String ownerByRank(BookingKey key, int rank) {
        return owners.nameByRank(key.partition(), rank);
    }

    private CompletableFuture<PeerFrame> handleAttemptQuery(AttemptQuery query) {
        AttemptId id = BookingCodec.fromWire(query.getAttempt());
        if (!id.vmName().equals(context.settings().vmName())) {
            return CompletableFuture.failedFuture(
                    new AgatelaneException(FailureType.NOT_FOUND, "the attempt belongs to " + id.vmName()));
        }
        AttemptAnswer.Builder response = AttemptAnswer.newBuilder().setState(AttemptAnswer.State.NOT_KNOWN);
        if (id.vmIncarnation() == context.incarnation()) {
            ServiceAttempt attempt = attempts.get(id.number());
            if (attempt != null) {
                setAttemptState(attempt, response);
            } else if (neverSentAttempts.containsKey(id.number())) {
                response.setState(AttemptAnswer.State.NEVER_SENT);
            }
        }
        return CompletableFuture.completedFuture(
                PeerFrame.newBuilder().setAttemptAnswer(response).build());
    }

    private static void setAttemptState(ServiceAttempt attempt, AttemptAnswer.Builder response) {
        if (attempt.outcome == null) {
            response.setState(AttemptAnswer.State.RUNNING);
            return;
        }
        switch (attempt.outcome.kind()) {
            case FINISHED -> {
                response.setState(AttemptAnswer.State.FINISHED);
                response.setAnswer(
                        BookingCodec.toWire(attempt.outcome.response().orElseThrow()));
            }
            case RELEASED -> response.setState(AttemptAnswer.State.NEVER_SENT);
            default -> response.setState(AttemptAnswer.State.SENT_WITHOUT_ANSWER);
        }
    }

    /** Result of a claim: either the granted attempt or the response of an earlier attempt is present. */
    record ClaimResult(Optional<ServiceAttempt> granted, Optional<ServiceResponse> finished) {
        static ClaimResult granted(ServiceAttempt attempt) {
            return new ClaimResult(Optional.of(attempt), Optional.empty());
        }

        static ClaimResult finished(ServiceResponse response) {
            return new ClaimResult(Optional.empty(), Optional.of(response));
        }
    }
}
