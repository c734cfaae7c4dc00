package io.agatelane.node.api;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The reads, conditional writes and leases of the platform's key-value service.
 *
 * <p>Futures fail with an {@code AgatelaneException}: {@code SWAP_LOST} when the expected revision is not the current
 * one, {@code PLATFORM_UNAVAILABLE} when nothing was done, {@code WRITE_OUTCOME_UNKNOWN} when a write may have taken
 * effect.
 */
public interface ConditionalStore {
    /** Reads one key. */
    CompletableFuture<Optional<KeyValue>> get(String key);

    /** Reads all keys with a prefix, in key order. */
    CompletableFuture<List<KeyValue>> list(String prefix);

    /** Reads all keys with a prefix, in key order, in a state that may lack recent writes. */
    default CompletableFuture<List<KeyValue>> listPossiblyStale(String prefix) {
        return list(prefix);
    }

    /**
     * Writes a key if its revision is the expected one.
     *
     * @param expectedRevision 0 expects that the key does not exist
     * @return the new revision
     */
    CompletableFuture<Long> compareAndSet(String key, long expectedRevision, byte[] value);

    /** Writes a key if its revision is the expected one, and attaches it to a lease whose end deletes the key. */
    CompletableFuture<Long> compareAndSet(String key, long expectedRevision, byte[] value, long leaseId);

    /** Deletes a key if its revision is the expected one. */
    CompletableFuture<Void> compareAndDelete(String key, long expectedRevision);

    /** Grants a lease and returns its identity. */
    CompletableFuture<Long> grantLease(long ttlMillis);

    /** Renews a lease and returns its remaining time in milliseconds; 0 when it has ended. */
    CompletableFuture<Long> renewLease(long leaseId);

    /** Ends a lease and deletes its keys. */
    CompletableFuture<Void> revokeLease(long leaseId);
}
