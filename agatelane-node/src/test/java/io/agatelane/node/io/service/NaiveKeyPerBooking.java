package io.agatelane.node.io.service;

import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Baseline for comparison: one store key per booking, read first to serve retries and created if absent. */
final class NaiveKeyPerBooking {
    private static final byte[] CLAIMED = {0};

    private final KeyValueStore store;
    private final FakePermits permits;

    NaiveKeyPerBooking(KeyValueStore store, FakePermits permits) {
        this.store = store;
        this.permits = permits;
    }

    CompletableFuture<ServiceResponse> call(ServiceRequest request) {
        String key = "naive/" + request.idempotencyKey();
        return store.get(key)
                .thenCompose(found -> found.isPresent()
                        ? recorded(found.get())
                        : store.compareAndSet(key, 0, CLAIMED).thenCompose(revision -> run(request, key, revision)));
    }

    private CompletableFuture<ServiceResponse> run(ServiceRequest request, String key, long revision) {
        Optional<ServiceInstance> instance = permits.choose(request.service().name(), Set.of());
        return permits.connect(instance.orElseThrow())
                .thenCompose(
                        connection -> connection.send(request, request.service().timeoutMillis()))
                .thenCompose(response ->
                        store.compareAndSet(key, revision, record(response)).thenApply(written -> response));
    }

    private static byte[] record(ServiceResponse response) {
        byte[] value = Arrays.copyOf(new byte[] {1}, 1 + response.body().length);
        System.arraycopy(response.body(), 0, value, 1, response.body().length);
        return value;
    }

    private static CompletableFuture<ServiceResponse> recorded(KeyValue value) {
        byte[] bytes = value.value();
        if (bytes[0] == CLAIMED[0]) {
            return CompletableFuture.failedFuture(
                    new AgatelaneException(FailureType.BOOKING_IN_PROGRESS, "another attempt holds the key"));
        }
        return CompletableFuture.completedFuture(
                new ServiceResponse(201, "text/plain", Arrays.copyOfRange(bytes, 1, bytes.length)));
    }
}
