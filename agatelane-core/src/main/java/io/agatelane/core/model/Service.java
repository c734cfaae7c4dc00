package io.agatelane.core.model;

import java.util.List;
import java.util.Optional;

/**
 * A plain service: its calls are forwarded to instances that are not engines.
 *
 * @param statusPath path of an idempotent status call, in which {@code {key}} stands for the Idempotency-Key; empty
 *     when the service has none
 */
public record Service(
        String name, String pathPrefix, List<Operation> operations, String statusPath, int timeoutMillis) {
    public Service {
        operations = List.copyOf(operations);
    }

    /** Finds the operation for a call; empty when the call is not configured. */
    public Optional<Operation> operation(String method, String path) {
        return operations.stream()
                .filter(operation -> operation.matches(method, path))
                .findFirst();
    }
}
