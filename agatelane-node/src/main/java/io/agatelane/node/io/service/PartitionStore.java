package io.agatelane.node.io.service;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.Booking;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.BookingState;
import io.agatelane.core.booking.LoadedPartition;
import io.agatelane.core.booking.SealedRef;
import io.agatelane.core.booking.Segment;
import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.booking.command.Effect;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.util.EventLog;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Reads and writes booking partitions in the key-value store. */
final class PartitionStore {
    private static final EventLog LOG = EventLog.of(PartitionStore.class);

    private final KeyValueStore store;

    PartitionStore(KeyValueStore store) {
        this.store = store;
    }

    /** Reads a partition, except for the sealed segments that the caller already knows. */
    CompletableFuture<LoadedPartition> load(int partition, Set<String> knownSealed) {
        String key = BookingCodec.openKey(partition);
        return store.get(key).thenCompose(found -> {
            Segment open =
                    found.map(value -> BookingCodec.decode(key, value.value())).orElse(Segment.empty());
            long revision = found.map(KeyValue::revision).orElse(0L);
            List<String> missing = open.sealed().stream()
                    .map(SealedRef::name)
                    .filter(name -> !knownSealed.contains(name))
                    .toList();
            Map<String, Segment> sealedSegments = new HashMap<>();
            CompletableFuture<Void> reads = CompletableFuture.completedFuture(null);
            for (String name : missing) {
                reads = reads.thenCompose(done -> loadSealed(partition, name))
                        .thenAccept(segment -> sealedSegments.put(name, segment));
            }
            return reads.thenApply(done -> new LoadedPartition(revision, open, sealedSegments));
        });
    }

    /** Writes the sealed segment, if any, and then replaces the open segment by compare-and-set. */
    CompletableFuture<Long> swap(int partition, Effect.Swap swap) {
        CompletableFuture<Void> sealedWrite = swap.sealed()
                .map(write -> createIfAbsent(
                        BookingCodec.sealedKey(partition, write.name()),
                        BookingCodec.encode(partition, write.segment())))
                .orElseGet(() -> CompletableFuture.completedFuture(null));
        byte[] open = BookingCodec.encode(partition, swap.open());
        return sealedWrite.thenCompose(
                done -> store.compareAndSet(BookingCodec.openKey(partition), swap.expectedRevision(), open));
    }

    CompletableFuture<Void> storeResponse(BookingKey key, AttemptId attempt, ServiceResponse response) {
        return createIfAbsent(
                BookingCodec.responseKey(key, attempt),
                BookingCodec.toWire(response).toByteArray());
    }

    CompletableFuture<Optional<ServiceResponse>> loadResponse(BookingKey key, AttemptId attempt) {
        String name = BookingCodec.responseKey(key, attempt);
        return store.get(name).thenApply(found -> found.map(value -> BookingCodec.decodeResponse(name, value.value())));
    }

    /** Deletes an expired sealed segment and the separately stored responses that it refers to. */
    void deleteSealed(int partition, String name) {
        String key = BookingCodec.sealedKey(partition, name);
        CompletableFuture<Void> deletion = store.get(key)
                .thenCompose(found -> found.map(value -> deleteWithResponses(key, value))
                        .orElseGet(() -> CompletableFuture.completedFuture(null)));
        Completion.then(deletion, (done, failure) -> {
            if (failure != null) {
                LOG.event("booking_segment_not_deleted")
                        .with("key", key)
                        .with("cause", AgatelaneException.from(failure).type())
                        .warning();
            }
        });
    }

    private CompletableFuture<Void> deleteWithResponses(String key, KeyValue sealedValue) {
        List<String> responseKeys = new ArrayList<>();
        for (Booking booking : BookingCodec.decode(key, sealedValue.value()).entries()) {
            if (booking.state() == BookingState.FINISHED && booking.response().isEmpty()) {
                responseKeys.add(BookingCodec.responseKey(booking.key(), booking.attempt()));
            }
        }
        CompletableFuture<Void> deletions = CompletableFuture.completedFuture(null);
        for (String responseKey : responseKeys) {
            deletions = deletions.thenCompose(done -> store.get(responseKey)).thenCompose(found -> found.map(
                            value -> store.compareAndDelete(responseKey, value.revision()))
                    .orElseGet(() -> CompletableFuture.completedFuture(null)));
        }
        return deletions.thenCompose(done -> store.compareAndDelete(key, sealedValue.revision()));
    }

    private CompletableFuture<Segment> loadSealed(int partition, String name) {
        String key = BookingCodec.sealedKey(partition, name);
        return store.get(key).thenApply(found -> {
            // The open segment that lists the missing one has been replaced since, so reading the partition again
            // finds the new list.
            KeyValue value = found.orElseThrow(() ->
                    new AgatelaneException(FailureType.NOT_FOUND, "a sealed segment does not exist").withLocation(key));
            return BookingCodec.decode(key, value.value());
        });
    }

    // Every writer writes the same content under such a key, so a key that exists already counts as written. A write
    // whose response was lost is repeated once; the repetition shows whether the key exists.
    private CompletableFuture<Void> createIfAbsent(String key, byte[] value) {
        return create(key, value)
                .exceptionallyCompose(failure -> {
                    AgatelaneException cause = AgatelaneException.from(failure);
                    if (cause.type() == FailureType.WRITE_OUTCOME_UNKNOWN) {
                        return create(key, value);
                    }
                    return CompletableFuture.failedFuture(cause);
                })
                .exceptionallyCompose(failure -> {
                    AgatelaneException cause = AgatelaneException.from(failure);
                    // The open segment is not written in this case, so the partition is unchanged.
                    return CompletableFuture.failedFuture(
                            new AgatelaneException(FailureType.PLATFORM_UNAVAILABLE, cause.getMessage(), cause)
                                    .withLocation(key));
                });
    }

    private CompletableFuture<Void> create(String key, byte[] value) {
        return store.compareAndSet(key, 0, value).handle((revision, failure) -> {
            if (failure != null && AgatelaneException.from(failure).type() != FailureType.SWAP_LOST) {
                throw AgatelaneException.from(failure);
            }
            return null;
        });
    }
}
