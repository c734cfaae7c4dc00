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
 *
 * <p>Revisions and the numbers of leases are qualified with the era of the store (see {@link StoreEra}). A revision or lease of an
 * earlier era identifies nothing any more: a write that expects it fails with {@code SWAP_LOST}, such a lease has ended.
 * When the store has gone back while a write was under way, the write fails with {@code WRITE_OUTCOME_UNKNOWN}, because
 * it may have met a revision or a lease that meanwhile belongs to another writer.
 */
public interface ConditionalStore {
    /** The newest era of the store that a response has shown; 0 for a store without eras. */
    default long era() {
        return 0;
    }

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
