package io.agatelane.node.util;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Supplier;

/** Continuations of futures that report every failure as an {@code AgatelaneException} and drop none. */
public final class Futures {
    private static final EventLog LOG = EventLog.of(Futures.class);

    private Futures() {}

    /** Runs the action with the value or the failure; the other one is null. A failure of the action is logged. */
    public static <T> void whenDone(
            CompletableFuture<T> future, Executor executor, BiConsumer<T, AgatelaneException> action) {
        var unused = future.handleAsync(
                (value, thrown) -> {
                    try {
                        action.accept(value, thrown == null ? null : AgatelaneException.from(thrown));
                    } catch (RuntimeException | Error e) {
                        LOG.event("continuation_failed").error(e);
                    }
                    return null;
                },
                executor);
    }

    /** Runs the next step with the value or the failure; the other is null. A failure of the step fails the result. */
    public static <T, R> CompletableFuture<R> compose(
            CompletableFuture<T> future,
            Executor executor,
            BiFunction<T, AgatelaneException, CompletableFuture<R>> step) {
        CompletableFuture<R> result = new CompletableFuture<>();
        var unused = future.handleAsync(
                (value, thrown) -> {
                    AgatelaneException failure = thrown == null ? null : AgatelaneException.from(thrown);
                    forward(call(() -> step.apply(value, failure)), result);
                    return null;
                },
                executor);
        return result;
    }

    /** Starts an asynchronous call on an executor. A failure of the call fails the result. */
    public static <R> CompletableFuture<R> callOn(Executor executor, Supplier<CompletableFuture<R>> call) {
        CompletableFuture<R> result = new CompletableFuture<>();
        try {
            executor.execute(() -> forward(call(call), result));
        } catch (RejectedExecutionException e) {
            result.completeExceptionally(
                    new AgatelaneException(FailureType.SHUTTING_DOWN, "this router is shutting down", e));
        }
        return result;
    }

    /**
     * Completes a future with a value, or with the failure to compute it. For callbacks of libraries that only log what is
     * thrown, so that the future would never end.
     */
    public static <T> void complete(CompletableFuture<T> future, Supplier<T> value) {
        try {
            future.complete(value.get());
        } catch (RuntimeException | Error e) {
            future.completeExceptionally(e);
        }
    }

    /** Completes a future with the value or the failure of another one. */
    public static <R> void forward(CompletableFuture<R> from, CompletableFuture<R> to) {
        var unused = from.handle((value, thrown) ->
                thrown == null ? to.complete(value) : to.completeExceptionally(AgatelaneException.from(thrown)));
    }

    private static <R> CompletableFuture<R> call(Supplier<CompletableFuture<R>> supplier) {
        try {
            return supplier.get();
        } catch (RuntimeException | Error e) {
            return CompletableFuture.failedFuture(AgatelaneException.from(e));
        }
    }
}
