package io.agatelane.node.io.service;

import io.agatelane.core.booking.ServiceResponse;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Sends calls to instances of a service, each on a connection of its own; tests replace the implementation. */
interface InstanceCalls {
    /** Chooses an instance that was not tried yet; empty when there is none. */
    Optional<ServiceInstance> choose(String service, Set<String> tried);

    /** Opens a connection; when this fails, nothing was sent. */
    CompletableFuture<CallConnection> connect(ServiceInstance instance);

    /** An open connection that carries exactly one call. */
    interface CallConnection {
        /** Sends the call; when this fails, the call may have run. */
        CompletableFuture<ServiceResponse> send(ServiceRequest call, long timeoutMillis);
    }
}
