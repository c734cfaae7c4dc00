package io.agatelane.node.io.service;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.fakes.FakeControl;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Wraps a fake platform for use by several threads and adds writes with an unknown outcome, which take effect late or
 * never.
 */
final class UncertainStore implements KeyValueStore {
    private static final int ONE_HUNDRED_PERCENT = 100;

    int uncertainPercent;
    private final KeyValueStore inner;
    private final FakeControl control;
    private final UniformRandomProvider random;

    UncertainStore(KeyValueStore inner, FakeControl control, UniformRandomProvider random) {
        this.inner = inner;
        this.control = control;
        this.random = random;
    }

    @Override
    public synchronized CompletableFuture<Optional<KeyValue>> get(String key) {
        return inner.get(key);
    }

    @Override
    public synchronized CompletableFuture<List<KeyValue>> list(String prefix) {
        return inner.list(prefix);
    }

    @Override
    public synchronized CompletableFuture<Long> compareAndSet(String key, long expectedRevision, byte[] value) {
        if (random.nextInt(ONE_HUNDRED_PERCENT) >= uncertainPercent) {
            return inner.compareAndSet(key, expectedRevision, value);
        }
        CompletableFuture<Long> result = new CompletableFuture<>();
        if (random.nextBoolean()) {
            control.after(
                    random.nextInt(500),
                    () -> Completion.then(
                            inner.compareAndSet(key, expectedRevision, value), (revision, failure) -> {}));
        }
        control.after(
                random.nextInt(50),
                () -> result.completeExceptionally(
                        new AgatelaneException(FailureType.WRITE_OUTCOME_UNKNOWN, "no response")));
        return result;
    }

    @Override
    public synchronized CompletableFuture<Long> compareAndSet(
            String key, long expectedRevision, byte[] value, long leaseId) {
        return inner.compareAndSet(key, expectedRevision, value, leaseId);
    }

    @Override
    public synchronized CompletableFuture<Void> compareAndDelete(String key, long expectedRevision) {
        return inner.compareAndDelete(key, expectedRevision);
    }

    @Override
    public synchronized CompletableFuture<Long> grantLease(long ttlMillis) {
        return inner.grantLease(ttlMillis);
    }

    @Override
    public synchronized CompletableFuture<Long> renewLease(long leaseId) {
        return inner.renewLease(leaseId);
    }

    @Override
    public synchronized CompletableFuture<Void> revokeLease(long leaseId) {
        return inner.revokeLease(leaseId);
    }

    @Override
    public Subscription watch(String key, Consumer<KeyValue> listener) {
        return inner.watch(key, listener);
    }

    @Override
    public boolean reachable() {
        return inner.reachable();
    }
}
