package io.agatelane.node.forward;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.limits.ByteBudget;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.io.http.BodyReader;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.eclipse.jetty.server.Request;

/** The request bodies that this router holds, within a budget for all of them together. */
final class HeldBodies {
    private final ByteBudget budget;
    private final TimerService timers;

    HeldBodies(long totalBytes, TimerService timers, MetricRegistry metrics) {
        this.budget = new ByteBudget(totalBytes);
        this.timers = timers;
        metrics.gauge("body_bytes_held", () -> budget::heldBytes);
        metrics.gauge("body_bytes_limit", () -> budget::totalBytes);
    }

    /** Returns the reservation for a request's body, which must be released at the end of the request. */
    ByteBudget.Reservation open() {
        return budget.open();
    }

    /**
     * Reads a body whose bytes are reserved before they are read.
     *
     * @param maxBytes the operator's limit; a body that the budget could never hold is too large as well
     * @return future of the body; it fails with {@code NO_MEMORY} when the budget is used up
     */
    CompletableFuture<byte[]> read(Request request, int maxBytes, ByteBudget.Reservation reservation) {
        int limit = (int) Math.min(maxBytes, budget.maxRequestBytes());
        return BodyReader.read(request, limit, bytes -> reservation.tryResize(bytes, timers.monotonicMillis()));
    }

    /** Releases a reservation. */
    void release(ByteBudget.Reservation reservation) {
        reservation.release(timers.monotonicMillis());
    }

    /** Adds the time after which there should be room to the refusal of a body. */
    AgatelaneException withRetryAfter(AgatelaneException refusal) {
        return refusal.withRetryAfterMillis(
                budget.retryAfterMillis(ThreadLocalRandom.current().nextDouble()));
    }
}
