package io.agatelane.node.io.service;

import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.Executed;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.util.EventLog;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards calls that may run any number of times; a failed one is retried on another instance within a budget. */
final class RepeatableCalls {
    private static final EventLog LOG = EventLog.of(RepeatableCalls.class);
    private static final int MAX_ATTEMPTS = 3;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final NodeContext context;
    private final InstancePool pool;
    private final ServiceClient client;
    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

    RepeatableCalls(NodeContext context, InstancePool pool, ServiceClient client) {
        this.context = context;
        this.pool = pool;
        this.client = client;
    }

    CompletableFuture<ServiceResponse> run(ServiceRequest call) {
        budget(call).recordCall();
        long deadlineMillis =
                context.timers().monotonicMillis() + call.service().timeoutMillis();
        Progress progress = new Progress(deadlineMillis);
        sendAttempt(call, progress);
        return progress.result;
    }

    private void sendAttempt(ServiceRequest call, Progress progress) {
        Optional<ServiceInstance> chosen = pool.choose(call.service().name(), progress.tried);
        if (chosen.isEmpty()) {
            fail(progress, new AgatelaneException(FailureType.NO_UPSTREAM, "no instance of the service accepts calls"));
            return;
        }
        ServiceInstance instance = chosen.get();
        progress.tried.add(instance.name);
        long remainingMillis =
                Math.max(1, progress.deadlineMillis - context.timers().monotonicMillis());
        boolean firstAttempt = progress.tried.size() == 1;
        // Half of the time is reserved for another instance in case this one does not respond.
        long timeoutMillis =
                firstAttempt && hasOtherInstance(call, progress) ? Math.max(1, remainingMillis / 2) : remainingMillis;
        LOG.event("service_call")
                .with("request", call.requestId())
                .with("upstream", instance.name)
                .with("attempt", Integer.toString(progress.tried.size()))
                .info();
        instance.outstandingCalls.incrementAndGet();
        Completion.then(client.call(instance.baseUrl, call, timeoutMillis), (response, failure) -> {
            instance.outstandingCalls.decrementAndGet();
            if (failure != null) {
                recordFailure(instance, progress, AgatelaneException.from(failure));
            }
            if ((failure != null || isUnavailable(response)) && tryAcquireRetry(call, progress)) {
                sendAttempt(call, progress);
            } else if (failure == null) {
                progress.result.complete(response);
            } else {
                fail(progress, AgatelaneException.from(failure));
            }
        });
    }

    private boolean tryAcquireRetry(ServiceRequest call, Progress progress) {
        return progress.tried.size() < MAX_ATTEMPTS
                && context.timers().monotonicMillis() < progress.deadlineMillis
                && hasOtherInstance(call, progress)
                && budget(call).tryAcquire();
    }

    private boolean hasOtherInstance(ServiceRequest call, Progress progress) {
        return pool.choose(call.service().name(), progress.tried).isPresent();
    }

    private RetryBudget budget(ServiceRequest call) {
        return budgets.computeIfAbsent(call.service().name(), unused -> new RetryBudget());
    }

    // The last failure may be a refused connection although an earlier attempt ran, so all attempts count here.
    private static void fail(Progress progress, AgatelaneException failure) {
        Executed executed = progress.maybeRan ? Executed.UNKNOWN : failure.executed();
        progress.result.completeExceptionally(failure.withExecuted(executed).withRetryAfterMillis(RETRY_AFTER_MILLIS));
    }

    private static void recordFailure(ServiceInstance instance, Progress progress, AgatelaneException failure) {
        progress.maybeRan |= failure.executed() != Executed.NO;
        if (failure.executed() == Executed.NO) {
            instance.markUnreachable();
        }
    }

    private static boolean isUnavailable(ServiceResponse response) {
        return response.status() >= BAD_GATEWAY && response.status() <= GATEWAY_TIMEOUT;
    }

    /** State of one call; its attempts run one after another. */
    private static final class Progress {
        private final long deadlineMillis;
        private final Set<String> tried = new HashSet<>();
        private final CompletableFuture<ServiceResponse> result = new CompletableFuture<>();
        private volatile boolean maybeRan;

        private Progress(long deadlineMillis) {
            this.deadlineMillis = deadlineMillis;
        }
    }
}
