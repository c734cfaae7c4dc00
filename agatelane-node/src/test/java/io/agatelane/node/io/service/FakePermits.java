package io.agatelane.node.io.service;

import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.fakes.FakeControl;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;

/** A service in memory that counts how often each booking ran, and fails at random at the rate that a test sets. */
final class FakePermits implements InstanceCalls {
    private static final int ONE_HUNDRED_PERCENT = 100;

    final Map<String, Integer> runs = new HashMap<>();
    final Map<String, ServiceResponse> responses = new HashMap<>();
    final Set<String> executedRequests = new HashSet<>();
    int faultPercent;
    int responseBytes = 20;
    private final FakeControl control;
    private final UniformRandomProvider random;
    private final ServiceInstance instance = new ServiceInstance("permit-0", "http://127.0.0.1:1");

    FakePermits(FakeControl control, UniformRandomProvider random) {
        this.control = control;
        this.random = random;
    }

    int runs(String key) {
        return runs.getOrDefault(key, 0);
    }

    @Override
    public Optional<ServiceInstance> choose(String service, Set<String> tried) {
        return tried.isEmpty() ? Optional.of(instance) : Optional.empty();
    }

    @Override
    public CompletableFuture<CallConnection> connect(ServiceInstance target) {
        CompletableFuture<CallConnection> result = new CompletableFuture<>();
        boolean refused = randomFault();
        control.after(1 + random.nextInt(3), () -> {
            if (refused) {
                result.completeExceptionally(new AgatelaneException(FailureType.NO_UPSTREAM, "refused"));
            } else {
                result.complete(this::send);
            }
        });
        return result;
    }

    /** Returns the response of a booking that ran; empty when it did not run or the status call fails. */
    CompletableFuture<Optional<ServiceResponse>> status(String key) {
        CompletableFuture<Optional<ServiceResponse>> result = new CompletableFuture<>();
        boolean fails = randomFault();
        control.after(2, () -> result.complete(fails ? Optional.empty() : Optional.ofNullable(responses.get(key))));
        return result;
    }

    private CompletableFuture<ServiceResponse> send(ServiceRequest call, long timeoutMillis) {
        CompletableFuture<ServiceResponse> result = new CompletableFuture<>();
        boolean neverArrives = randomFault();
        boolean responseLost = randomFault();
        long arrivesMillis = randomFault() ? timeoutMillis * 2 : 1L + random.nextInt(5);
        long takesMillis = 1L + random.nextInt(200);
        control.after(
                timeoutMillis,
                () -> result.completeExceptionally(
                        new AgatelaneException(FailureType.UPSTREAM_TIMEOUT, "no response")));
        if (neverArrives) {
            control.after(arrivesMillis, () -> fail(result));
            return result;
        }
        control.after(arrivesMillis, () -> {
            ServiceResponse response = execute(call);
            control.after(takesMillis, () -> {
                if (responseLost) {
                    fail(result);
                } else {
                    result.complete(response);
                }
            });
        });
        return result;
    }

    private ServiceResponse execute(ServiceRequest call) {
        String key = call.idempotencyKey();
        int run = runs.merge(key, 1, Integer::sum);
        executedRequests.add(call.requestId());
        String text = key + " run " + run + " " + "x".repeat(responseBytes);
        ServiceResponse response = new ServiceResponse(201, "text/plain", text.getBytes(StandardCharsets.UTF_8));
        responses.put(key, response);
        return response;
    }

    private static void fail(CompletableFuture<ServiceResponse> result) {
        result.completeExceptionally(new AgatelaneException(FailureType.UPSTREAM_FAILED, "the connection was closed"));
    }

    private boolean randomFault() {
        return random.nextInt(ONE_HUNDRED_PERCENT) < faultPercent;
    }
}
