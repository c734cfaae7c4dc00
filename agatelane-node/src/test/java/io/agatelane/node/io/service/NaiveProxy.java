package io.agatelane.node.io.service;

import io.agatelane.core.booking.ServiceResponse;
import java.util.HashSet;
import java.util.concurrent.CompletableFuture;

/** Baseline for comparison: sends every request to the service without a claim. */
final class NaiveProxy {
    private FakePermits permits;

    void attach(FakePermits newPermits) {
        this.permits = newPermits;
    }

    CompletableFuture<ServiceResponse> call(ServiceRequest request) {
        ServiceInstance instance =
                permits.choose(request.service().name(), new HashSet<>()).orElseThrow();
        return permits.connect(instance)
                .thenCompose(
                        connection -> connection.send(request, request.service().timeoutMillis()));
    }
}
