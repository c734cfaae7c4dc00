package io.agatelane.node.io.orders;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.orders.OrderTiming;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.NodeContext;
import io.agatelane.wire.store.EngineOrder;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The lease of this router for orders to engines that do not check fencing numbers, with one key per engine. All
 * methods run on the control thread; futures complete on any thread.
 */
final class HolderLease {
    private static final String PREFIX = "orders/holders/";

    private final NodeContext context;
    private final KeyValueStore store;
    private final OrderTiming timing;
    private final Map<String, HeldKey> heldKeys = new HashMap<>();
    private long leaseId;
    private long expiresMillis = Long.MIN_VALUE;

    HolderLease(NodeContext context, KeyValueStore store, OrderTiming timing) {
        this.context = context;
        this.store = store;
        this.timing = timing;
    }

    /** Time for which this router holds the key of an engine: from when it took the key until the lease expires. */
    record Term(long heldSinceMillis, long expiresMillis) {}

    private record HeldKey(long leaseId, long revision, long heldSinceMillis) {}

    /** Takes the key of an engine, or renews the lease of a held key; empty when another router holds the key. */
    CompletableFuture<Optional<Term>> take(String upstream) {
        return ensureLease().thenComposeAsync(unused -> takeKey(upstream), context.control());
    }

    /** Deletes the key of an engine, and ends the lease with its last key; best effort, as the lease expires anyway. */
    void release(String upstream) {
        HeldKey key = heldKeys.remove(upstream);
        if (key != null) {
            var unused = store.compareAndDelete(PREFIX + upstream, key.revision);
        }
        if (heldKeys.isEmpty() && leaseId != 0) {
            var unused = store.revokeLease(leaseId);
            leaseId = 0;
        }
    }

    private CompletableFuture<Void> ensureLease() {
        long startMillis = now();
        if (leaseId != 0 && startMillis >= expiresMillis) {
            dropLease();
        }
        if (leaseId == 0) {
            return store.grantLease(timing.leaseMillis())
                    .thenAcceptAsync(id -> leaseGranted(id, startMillis), context.control());
        }
        if (expiresMillis - startMillis > timing.takeoverMillis() / 2) {
            // Still valid for long enough, since it was renewed for another engine recently.
            return CompletableFuture.completedFuture(null);
        }
        long renewedLeaseId = leaseId;
        return store.renewLease(renewedLeaseId)
                .thenAcceptAsync(remaining -> leaseRenewed(renewedLeaseId, remaining, startMillis), context.control());
    }

    private void leaseGranted(long id, long startMillis) {
        if (leaseId != 0) {
            // A lease was requested for two engines at the same time; the second one has no keys and expires.
            return;
        }
        leaseId = id;
        // Counted from the start of the call, so the platform cannot end the lease before this time.
        expiresMillis = startMillis + timing.leaseMillis();
    }

    private void leaseRenewed(long id, long remainingMillis, long startMillis) {
        if (id != leaseId) {
            return;
        }
        if (remainingMillis <= 0) {
            dropLease();
            throw new AgatelaneException(FailureType.SWAP_LOST, "the lease for orders has expired");
        }
        expiresMillis = Math.max(expiresMillis, startMillis + Math.min(remainingMillis, timing.leaseMillis()));
    }

    private CompletableFuture<Optional<Term>> takeKey(String upstream) {
        HeldKey key = heldKeys.get(upstream);
        if (key != null) {
            return CompletableFuture.completedFuture(Optional.of(new Term(key.heldSinceMillis, expiresMillis)));
        }
        long id = leaseId;
        byte[] value = OrderCodec.encodeHolder(upstream, context.settings().vmName(), context.incarnation(), id);
        CompletableFuture<Optional<Long>> taken = store.compareAndSet(PREFIX + upstream, 0, value, id)
                .thenApply(Optional::of)
                .exceptionallyCompose(failure -> findOwnKey(upstream, id, AgatelaneException.from(failure)));
        return taken.thenApplyAsync(
                revision -> revision.flatMap(number -> recordTakenKey(upstream, id, number)), context.control());
    }

    /** Finds the key that an earlier write of this router created although its response was lost. */
    private CompletableFuture<Optional<Long>> findOwnKey(String upstream, long id, AgatelaneException failure) {
        if (failure.type() != FailureType.SWAP_LOST && failure.type() != FailureType.WRITE_OUTCOME_UNKNOWN) {
            return CompletableFuture.failedFuture(failure);
        }
        return store.get(PREFIX + upstream)
                .thenApply(found -> found.filter(value -> isOwn(value, id)).map(KeyValue::revision));
    }

    private boolean isOwn(KeyValue value, long id) {
        EngineOrder holder = OrderCodec.parse(value).orElse(EngineOrder.getDefaultInstance());
        return holder.getHolderVm().equals(context.settings().vmName())
                && holder.getHolderIncarnation() == context.incarnation()
                && holder.getFencingNumber() == id;
    }

    private Optional<Term> recordTakenKey(String upstream, long id, long revision) {
        if (id != leaseId) {
            return Optional.empty();
        }
        HeldKey key = heldKeys.computeIfAbsent(upstream, unused -> new HeldKey(id, revision, now()));
        return Optional.of(new Term(key.heldSinceMillis, expiresMillis));
    }

    private void dropLease() {
        leaseId = 0;
        heldKeys.clear();
    }

    private long now() {
        return context.timers().monotonicMillis();
    }
}
