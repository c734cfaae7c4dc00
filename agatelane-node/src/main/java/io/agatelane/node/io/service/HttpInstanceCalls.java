package io.agatelane.node.io.service;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Sends calls that may run at most once over HTTP and counts them as outstanding at their instance. */
final class HttpInstanceCalls implements InstanceCalls {
    private final InstancePool pool;
    private final ServiceClient client;

    HttpInstanceCalls(InstancePool pool, ServiceClient client) {
        this.pool = pool;
        this.client = client;
    }

    @Override
    public Optional<ServiceInstance> choose(String service, Set<String> tried) {
        return pool.choose(service, tried);
    }

    @Override
    public CompletableFuture<CallConnection> connect(ServiceInstance instance) {
        instance.outstandingCalls.incrementAndGet();
        return client.connect(instance.baseUrl)
                .whenComplete((connection, failure) -> {
                    if (failure != null) {
                        instance.outstandingCalls.decrementAndGet();
                        instance.markUnreachable();
                    }
                })
                .thenApply(connection ->
                        (call, timeoutMillis) -> client.callOnce(connection, instance.baseUrl, call, timeoutMillis)
                                .whenComplete((response, failure) -> instance.outstandingCalls.decrementAndGet()));
    }
}
