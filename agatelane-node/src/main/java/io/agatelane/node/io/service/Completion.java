package io.agatelane.node.io.service;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/** Attaches actions to futures whose resulting stage is not needed. */
final class Completion {
    private Completion() {}

    /** Runs the action with the value or the failure, on the thread that completes the future. */
    static <T> void then(CompletableFuture<T> future, BiConsumer<? super T, Throwable> action) {
        CompletableFuture<T> unused = future.whenComplete(action);
    }

    /** Runs the action with the value or the failure on the executor. */
    static <T> void thenOn(Executor executor, CompletableFuture<T> future, BiConsumer<? super T, Throwable> action) {
        CompletableFuture<T> unused = future.whenCompleteAsync(action, executor);
    }
}
