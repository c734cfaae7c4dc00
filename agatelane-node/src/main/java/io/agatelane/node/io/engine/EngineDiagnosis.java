package io.agatelane.node.io.engine;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import java.util.concurrent.CompletableFuture;

/** State of an engine whose connection broke, determined from its load endpoint. */
enum EngineDiagnosis {
    /** The same process still responds. */
    ALIVE,
    /** The process has stopped or was replaced. */
    CRASHED,
    /** No response arrives in time, but the connection is not refused either. */
    UNRESPONSIVE;

    private static final long TIMEOUT_MILLIS = 1_000;
    // The first request may use a pooled connection that the crash broke.
    private static final int MAX_TRIES = 3;

    static CompletableFuture<EngineDiagnosis> of(EngineClient client, EngineAttempt attempt) {
        return of(client, attempt, MAX_TRIES);
    }

    private static CompletableFuture<EngineDiagnosis> of(EngineClient client, EngineAttempt attempt, int triesLeft) {
        return client.get(attempt.engine().baseUrl(), "/load", TIMEOUT_MILLIS)
                .thenApply(response ->
                        LoadPoller.incarnation(response.body()).equals(attempt.incarnation()) ? ALIVE : CRASHED)
                .exceptionallyCompose(failure -> {
                    FailureType type = AgatelaneException.from(failure).type();
                    if (type == FailureType.UPSTREAM_TIMEOUT) {
                        return CompletableFuture.completedFuture(UNRESPONSIVE);
                    }
                    if (type == FailureType.NO_UPSTREAM || triesLeft == 1) {
                        return CompletableFuture.completedFuture(CRASHED);
                    }
                    return of(client, attempt, triesLeft - 1);
                });
    }
}
