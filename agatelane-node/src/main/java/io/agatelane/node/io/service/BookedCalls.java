package io.agatelane.node.io.service;

import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.Outcome;
import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.Executed;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.util.EventLog;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Forwards calls that may run at most once: claims the booking, then sends the call, then records the outcome. Runs on
 * the control thread.
 */
final class BookedCalls {
    private static final EventLog LOG = EventLog.of(BookedCalls.class);
    private static final long RETRY_AFTER_MILLIS = 1_000;
    // The owner waits for a running attempt up to the service's timeout; its response needs more time to arrive.
    private static final long CLAIM_SLACK_MILLIS = 1_000;

    private final NodeContext context;
    private final InstanceCalls calls;
    private final BookingClient bookings;

    BookedCalls(NodeContext context, InstanceCalls calls, BookingClient bookings) {
        this.context = context;
        this.calls = calls;
        this.bookings = bookings;
    }

    CompletableFuture<ServiceResponse> run(ServiceRequest call) {
        CompletableFuture<ServiceResponse> result = new CompletableFuture<>();
        context.control().execute(() -> claim(call, result));
        return result;
    }

    private void claim(ServiceRequest call, CompletableFuture<ServiceResponse> result) {
        BookingKey key = new BookingKey(call.clientAccount(), call.service().name(), call.idempotencyKey());
        String digest = Digests.ofRequest(
                call.operation().method(), call.target(), call.body().bytes());
        Completion.then(
                bookings.claim(key, digest, call.service().timeoutMillis() + CLAIM_SLACK_MILLIS), (claim, failure) -> {
                    if (failure != null) {
                        result.completeExceptionally(failure);
                    } else if (claim.finished().isPresent()) {
                        result.complete(claim.finished().get());
                    } else {
                        connect(call, claim.granted().orElseThrow(), new HashSet<>(), result);
                    }
                });
    }

    // Nothing is sent before a connection is open, so another instance may be tried under the same claim.
    private void connect(
            ServiceRequest call, ServiceAttempt attempt, Set<String> tried, CompletableFuture<ServiceResponse> result) {
        Optional<ServiceInstance> chosen = calls.choose(call.service().name(), tried);
        if (chosen.isEmpty()) {
            // The caller is refused before the claim is released, since another attempt may run after the release.
            result.completeExceptionally(
                    new AgatelaneException(FailureType.NO_UPSTREAM, "no instance of the service accepts calls")
                            .withExecuted(Executed.NO)
                            .withRetryAfterMillis(RETRY_AFTER_MILLIS));
            bookings.record(attempt, Outcome.released());
            return;
        }
        ServiceInstance instance = chosen.get();
        tried.add(instance.name);
        Completion.thenOn(context.control(), calls.connect(instance), (connection, failure) -> {
            if (failure != null) {
                connect(call, attempt, tried, result);
            } else {
                send(call, attempt, instance, connection, result);
            }
        });
    }

    private void send(
            ServiceRequest call,
            ServiceAttempt attempt,
            ServiceInstance instance,
            InstanceCalls.CallConnection connection,
            CompletableFuture<ServiceResponse> result) {
        LOG.event("booked_call_sent")
                .with("request", call.requestId())
                .with("upstream", instance.name)
                .with("attempt", Long.toString(attempt.id.number()))
                .info();
        Completion.thenOn(
                context.control(),
                connection.send(call, call.service().timeoutMillis()),
                (response, failure) -> finish(attempt, response, failure, result));
    }

    // The caller gets the response without waiting for its record, which may take as long as an outage of the platform.
    private void finish(
            ServiceAttempt attempt,
            ServiceResponse response,
            Throwable failure,
            CompletableFuture<ServiceResponse> result) {
        if (failure != null) {
            bookings.record(attempt, Outcome.unknown());
            result.completeExceptionally(AgatelaneException.from(failure)
                    .withExecuted(Executed.UNKNOWN)
                    .withRetryAfterMillis(RETRY_AFTER_MILLIS));
            return;
        }
        boolean storable = response.body().length <= context.settings().maxAnswerBytes();
        bookings.record(attempt, storable ? Outcome.finished(response) : Outcome.unknown());
        result.complete(response);
    }
}
