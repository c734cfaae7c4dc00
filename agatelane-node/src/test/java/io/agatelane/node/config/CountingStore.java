package io.agatelane.node.config;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.Subscription;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Counts the reads and the open watches of all routers that use this store, and can fail listings. */
final class CountingStore implements KeyValueStore {
    private final KeyValueStore store;
    int reads;
    int openWatches;
    boolean listingsFail;

    CountingStore(KeyValueStore store) {
        this.store = store;
    }

    @Override
    public CompletableFuture<Optional<KeyValue>> get(String key) {
        reads++;
        return store.get(key);
    }

    @Override
    public CompletableFuture<List<KeyValue>> list(String prefix) {
        reads++;
        if (listingsFail) {
            return CompletableFuture.failedFuture(
                    new AgatelaneException(FailureType.PLATFORM_UNAVAILABLE, "the response is too large"));
        }
        return store.list(prefix);
    }

    @Override
    public CompletableFuture<Long> compareAndSet(String key, long expectedRevision, byte[] value) {
        return store.compareAndSet(key, expectedRevision, value);
    }

    @Override
    public CompletableFuture<Long> compareAndSet(String key, long expectedRevision, byte[] value, long leaseId) {
        return store.compareAndSet(key, expectedRevision, value, leaseId);
    }

    @Override
    public CompletableFuture<Void> compareAndDelete(String key, long expectedRevision) {
        return store.compareAndDelete(key, expectedRevision);
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMillis) {
        return store.grantLease(ttlMillis);
    }

    @Override
    public CompletableFuture<Long> renewLease(long leaseId) {
        return store.renewLease(leaseId);
    }

    @Override
    public CompletableFuture<Void> revokeLease(long leaseId) {
        return store.revokeLease(leaseId);
    }

    @Override
    public Subscription watch(String key, Consumer<KeyValue> listener) {
        openWatches++;
        Subscription watch = store.watch(key, listener);
        return () -> {
            openWatches--;
            watch.cancel();
        };
    }

    @Override
    public boolean reachable() {
        return store.reachable();
    }
}
