package io.agatelane.node.io.service;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.BookingLimits;
import io.agatelane.core.booking.ClaimantState;
import io.agatelane.core.booking.Outcome;
import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.booking.command.Effect;
import io.agatelane.core.booking.command.EventTime;
import io.agatelane.core.booking.command.PartitionMachine;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.model.Service;
import io.agatelane.node.api.ConfigView;
import io.agatelane.node.api.Member;
import io.agatelane.node.api.MemberState;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.PeerTransport;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.util.EventLog;
import io.agatelane.wire.peer.AttemptAnswer;
import io.agatelane.wire.peer.AttemptQuery;
import io.agatelane.wire.peer.ClaimRequest;
import io.agatelane.wire.peer.ClaimResponse;
import io.agatelane.wire.peer.OutcomeRequest;
import io.agatelane.wire.peer.OutcomeResponse;
import io.agatelane.wire.peer.PeerFrame;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * Owner's side of the bookings: runs the state machines of the partitions that this router acts as the owner of. All
 * methods run on the control thread.
 */
final class BookingOwner {
    private static final EventLog LOG = EventLog.of(BookingOwner.class);
    private static final long QUERY_TIMEOUT_MILLIS = 1_000;
    private static final long TICK_MILLIS = 1_000;
    private static final int DEFAULT_WAIT_MILLIS = 5_000;

    private final NodeContext context;
    private final ConfigView config;
    private final MembershipView membership;
    private final PeerTransport peers;
    private final PartitionStore store;
    private final PartitionOwners owners;
    private final BiFunction<Service, String, CompletableFuture<Optional<ServiceResponse>>> statusCall;
    private final Map<Integer, PartitionMachine> machines = new HashMap<>();
    private final Map<Long, PendingResponse> pendingResponses = new HashMap<>();
    private final boolean[] ownedPartitions = new boolean[BookingKey.PARTITIONS];
    private final List<Subscription> subscriptions = new ArrayList<>();
    private long nextTicketNumber;

    /**
     * Creates the owner without any partition; {@link #start} reads the partitions that this router owns.
     *
     * @param statusCall queries a service whether the call with an Idempotency-Key ran; empty when that is not known
     */
    BookingOwner(
            NodeContext context,
            ConfigView config,
            MembershipView membership,
            PeerTransport peers,
            PartitionStore store,
            BiFunction<Service, String, CompletableFuture<Optional<ServiceResponse>>> statusCall) {
        this.context = context;
        this.config = config;
        this.membership = membership;
        this.peers = peers;
        this.store = store;
        this.owners = new PartitionOwners(membership);
        this.statusCall = statusCall;
    }

    /** Begins to respond to requests of other routers and reads the partitions that this router owns. */
    void start() {
        peers.onRequest(PeerFrame.BodyCase.CLAIM_REQUEST, (from, frame) -> handleClaim(frame.getClaimRequest()));
        peers.onRequest(PeerFrame.BodyCase.OUTCOME_REQUEST, (from, frame) -> handleOutcome(frame.getOutcomeRequest()));
        subscriptions.add(membership.onChange(members -> context.control().execute(this::updateOwnership)));
        subscriptions.add(context.timers().every("bookings", TICK_MILLIS, this::tick));
        context.control().execute(this::updateOwnership);
    }

    void stop() {
        subscriptions.forEach(Subscription::cancel);
    }

    private CompletableFuture<PeerFrame> handleClaim(ClaimRequest request) {
        BookingKey key = BookingCodec.fromWire(request.getKey());
        AttemptId attempt = BookingCodec.fromWire(request.getAttempt());
        String digest = BookingCodec.digestFromWire(request.getRequestDigest());
        PendingResponse pending = new PendingResponse();
        long ticketNumber = nextTicketNumber++;
        pendingResponses.put(ticketNumber, pending);
        int partition = key.partition();
        pending.timer = context.timers()
                .after(
                        waitMillis(key.service()),
                        () -> applyEvent(partition, machine -> machine.waitExpired(now(), ticketNumber)));
        applyEvent(partition, machine -> machine.claim(now(), ticketNumber, key, attempt, digest));
        return pending.response;
    }

    private CompletableFuture<PeerFrame> handleOutcome(OutcomeRequest request) {
        BookingKey key = BookingCodec.fromWire(request.getKey());
        AttemptId attempt = BookingCodec.fromWire(request.getAttempt());
        Outcome outcome =
                switch (request.getOutcomeCase()) {
                    case ANSWER -> Outcome.finished(BookingCodec.fromWire(request.getAnswer()));
                    case RELEASED -> Outcome.released();
                    case UNKNOWN -> Outcome.unknown();
                    default -> throw new AgatelaneException(FailureType.MALFORMED_REQUEST, "an outcome is required");
                };
        PendingResponse pending = new PendingResponse();
        long ticketNumber = nextTicketNumber++;
        pendingResponses.put(ticketNumber, pending);
        applyEvent(key.partition(), machine -> machine.outcome(now(), ticketNumber, key, attempt, outcome));
        return pending.response;
    }

    private void updateOwnership() {
        for (int partition = 0; partition < BookingKey.PARTITIONS; partition++) {
            boolean nowOwned = owners.isOwnedHere(partition);
            if (nowOwned && !ownedPartitions[partition]) {
                applyEvent(partition, machine -> machine.ownershipGained(now()));
            }
            ownedPartitions[partition] = nowOwned;
        }
    }

    private void tick() {
        for (int partition : List.copyOf(machines.keySet())) {
            PartitionMachine machine = machines.get(partition);
            if (!ownedPartitions[partition] && machine.isIdle()) {
                machines.remove(partition);
            } else {
                applyEvent(partition, current -> current.tick(now()));
            }
        }
    }

    private void applyEvent(int partition, Function<PartitionMachine, List<Effect>> event) {
        PartitionMachine machine = machines.computeIfAbsent(
                partition,
                unused -> new PartitionMachine(
                        BookingLimits.DEFAULT, context.settings().vmName() + "-" + context.incarnation()));
        for (Effect effect : event.apply(machine)) {
            runEffect(partition, effect);
        }
    }

    private void runEffect(int partition, Effect effect) {
        if (effect instanceof Effect.Load load) {
            continueWith(partition, store.load(partition, load.knownSealed()), (machine, loaded, failure) -> {
                return failure == null ? machine.loaded(now(), loaded) : loadFailed(machine, partition, failure);
            });
        } else if (effect instanceof Effect.Swap swap) {
            continueWith(partition, store.swap(partition, swap), (machine, revision, failure) -> {
                return failure == null
                        ? machine.swapSucceeded(now(), revision)
                        : swapFailed(machine, partition, failure);
            });
        } else if (effect instanceof Effect.ScheduleCommit commit) {
            context.timers()
                    .after(commit.delayMillis(), () -> applyEvent(partition, machine -> machine.commitDue(now())));
        } else if (effect instanceof Effect.Reply reply) {
            replyToClaim(reply);
        } else if (effect instanceof Effect.ReplyOutcome reply) {
            completeResponse(
                    reply.ticket(),
                    PeerFrame.newBuilder()
                            .setOutcomeResponse(OutcomeResponse.newBuilder().setDurable(reply.durable()))
                            .build());
        } else if (effect instanceof Effect.QueryClaimant query) {
            queryClaimant(partition, query);
        } else if (effect instanceof Effect.QueryServiceStatus call) {
            continueWith(partition, queryStatus(call.key()), (machine, response, failure) -> {
                Optional<ServiceResponse> known = failure == null ? response : Optional.empty();
                return machine.statusReceived(now(), call.key(), call.attempt(), known);
            });
        } else if (effect instanceof Effect.StoreResponse write) {
            continueWith(
                    partition,
                    store.storeResponse(write.key(), write.attempt(), write.response()),
                    (machine, done, failure) ->
                            machine.responseStored(now(), write.key(), write.attempt(), failure == null));
        } else if (effect instanceof Effect.LoadResponse read) {
            continueWith(partition, store.loadResponse(read.key(), read.attempt()), (machine, response, failure) -> {
                return machine.responseLoaded(now(), read.attempt(), failure == null ? response : Optional.empty());
            });
        } else if (effect instanceof Effect.DeleteSealed delete) {
            delete.names().forEach(name -> store.deleteSealed(partition, name));
        }
    }

    private <T> void continueWith(int partition, CompletableFuture<T> result, Continuation<T> continuation) {
        Completion.thenOn(
                context.control(),
                result,
                (value, failure) -> applyEvent(
                        partition,
                        machine -> continuation.apply(
                                machine, value, failure == null ? null : AgatelaneException.from(failure))));
    }

    private List<Effect> loadFailed(PartitionMachine machine, int partition, AgatelaneException failure) {
        if (failure.type() != FailureType.PLATFORM_UNAVAILABLE) {
            LOG.event("booking_partition_not_read")
                    .with("partition", Integer.toString(partition))
                    .with("location", failure.location())
                    .with("cause", failure.getMessage())
                    .warning();
        }
        return machine.loadFailed(now());
    }

    private List<Effect> swapFailed(PartitionMachine machine, int partition, AgatelaneException failure) {
        LOG.event("booking_swap_failed")
                .with("partition", Integer.toString(partition))
                .with("cause", failure.type())
                .info();
        return switch (failure.type()) {
            case SWAP_LOST -> machine.swapConflicted(now());
            case PLATFORM_UNAVAILABLE -> machine.swapFailedByOutage(now());
            default -> machine.swapOutcomeUnknown(now());
        };
    }

    private void queryClaimant(int partition, Effect.QueryClaimant query) {
        AttemptId attempt = query.attempt();
        if (isDead(attempt.vmName())) {
            claimantReported(partition, query, ClaimantState.GONE, Optional.empty());
            return;
        }
        PeerFrame frame = PeerFrame.newBuilder()
                .setAttemptQuery(AttemptQuery.newBuilder().setAttempt(BookingCodec.toWire(attempt)))
                .build();
        Completion.thenOn(
                context.control(),
                peers.request(attempt.vmName(), frame, QUERY_TIMEOUT_MILLIS),
                (response, failure) -> {
                    if (failure != null) {
                        boolean dead = isDead(attempt.vmName());
                        ClaimantState state = dead ? ClaimantState.GONE : ClaimantState.UNREACHABLE;
                        claimantReported(partition, query, state, Optional.empty());
                    } else {
                        claimantReported(partition, query, response.getAttemptAnswer());
                    }
                });
    }

    private void claimantReported(int partition, Effect.QueryClaimant query, AttemptAnswer response) {
        switch (response.getState()) {
            case RUNNING -> claimantReported(partition, query, ClaimantState.RUNNING, Optional.empty());
            case FINISHED -> claimantReported(
                    partition, query, ClaimantState.FINISHED, Optional.of(BookingCodec.fromWire(response.getAnswer())));
            case NEVER_SENT -> claimantReported(partition, query, ClaimantState.NEVER_SENT, Optional.empty());
            case SENT_WITHOUT_ANSWER -> claimantReported(
                    partition, query, ClaimantState.SENT_WITHOUT_ANSWER, Optional.empty());
            case NOT_KNOWN -> claimantReported(partition, query, ClaimantState.GONE, Optional.empty());
            default -> claimantReported(partition, query, ClaimantState.UNREACHABLE, Optional.empty());
        }
    }

    private void claimantReported(
            int partition, Effect.QueryClaimant query, ClaimantState state, Optional<ServiceResponse> response) {
        LOG.event("booking_claimant_queried")
                .with("partition", Integer.toString(partition))
                .with("claimant", query.attempt().vmName())
                .with("attempt", Long.toString(query.attempt().number()))
                .with("state", state)
                .info();
        applyEvent(
                partition, machine -> machine.claimantReported(now(), query.key(), query.attempt(), state, response));
    }

    // The membership forgets a router only when it has been dead for a long time.
    private boolean isDead(String vmName) {
        Optional<Member> member = membership.member(vmName);
        return member.isEmpty() || member.get().state() == MemberState.DEAD;
    }

    private CompletableFuture<Optional<ServiceResponse>> queryStatus(BookingKey key) {
        Optional<Service> service = service(key.service());
        if (service.isEmpty() || service.get().statusPath().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return statusCall.apply(service.get(), key.idempotencyKey());
    }

    private void replyToClaim(Effect.Reply reply) {
        ClaimResponse.Builder response = ClaimResponse.newBuilder()
                .setVerdict(ClaimResponse.Verdict.valueOf(reply.verdict().name()));
        reply.claimant().ifPresent(attempt -> response.setClaimant(BookingCodec.toWire(attempt)));
        reply.response().ifPresent(earlier -> response.setAnswer(BookingCodec.toWire(earlier)));
        context.metrics().counter("bookings.verdict." + reply.verdict()).inc();
        completeResponse(
                reply.ticket(),
                PeerFrame.newBuilder().setClaimResponse(response).build());
    }

    private void completeResponse(long ticketNumber, PeerFrame frame) {
        PendingResponse pending = pendingResponses.remove(ticketNumber);
        if (pending != null) {
            pending.timer.cancel();
            pending.response.complete(frame);
        }
    }

    private int waitMillis(String serviceName) {
        return service(serviceName).map(Service::timeoutMillis).orElse(DEFAULT_WAIT_MILLIS);
    }

    private Optional<Service> service(String name) {
        return config.current().services().stream()
                .filter(service -> service.name().equals(name))
                .findFirst();
    }

    private EventTime now() {
        return new EventTime(
                context.timers().monotonicMillis(), context.timers().epochMillis());
    }

    /** Applies the result of an effect to the state machine; value is null after a failure, failure after a success. */
    private interface Continuation<T> {
        List<Effect> apply(PartitionMachine machine, T value, AgatelaneException failure);
    }

    private static final class PendingResponse {
        private final CompletableFuture<PeerFrame> response = new CompletableFuture<>();
        private Subscription timer = () -> {};
    }
}
