package io.agatelane.node.fakes;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.StoreEra;
import io.agatelane.node.api.Subscription;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * In-memory key-value store of the platform. Each call takes effect after half the latency and completes after the
 * whole. Tests can simulate an outage, lose responses to writes that took effect, restore an older state, and let the
 * store go back to a copy in a new era, which gives revisions and leases out again.
 */
public final class FakeKeyValueStore implements KeyValueStore {
    private final FakeControl control;
    private final TreeMap<String, KeyValue> values = new TreeMap<>();
    private final Map<String, Long> leaseOfKey = new HashMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Map<String, List<Consumer<KeyValue>>> watchers = new HashMap<>();
    private long revision;
    private long era;
    private long latencyMillis;
    private boolean outage;
    private int responsesToLose;
    private int readCount;
    private int writeCount;

    public FakeKeyValueStore(FakeControl control) {
        this.control = control;
    }

    /** Sets the time from a call to its response; with 0, calls complete immediately. */
    public void setLatencyMillis(long millis) {
        this.latencyMillis = millis;
    }

    /** During an outage, no call takes effect and each fails with PLATFORM_UNAVAILABLE. */
    public void setOutage(boolean out) {
        this.outage = out;
    }

    /** The next writes take effect but fail with WRITE_OUTCOME_UNKNOWN. */
    public void loseResponses(int count) {
        this.responsesToLose = count;
    }

    public int readCount() {
        return readCount;
    }

    public int writeCount() {
        return writeCount;
    }

    /** Copies the values, for a later {@link #restore}. */
    public Map<String, KeyValue> backup() {
        return new TreeMap<>(values);
    }

    /** Replaces all values by an earlier copy, as a restored platform would. */
    public void restore(Map<String, KeyValue> backup) {
        values.clear();
        values.putAll(backup);
    }

    /** A copy of the whole store, for {@link #goBackTo}. */
    public record Copy(Map<String, KeyValue> values, Map<String, Long> leaseOfKey, Set<Long> leases, long revision) {}

    /** Copies the store. */
    public Copy copy() {
        return new Copy(new TreeMap<>(values), Map.copyOf(leaseOfKey), Set.copyOf(leases.keySet()), revision);
    }

    /** Goes back to an older copy and starts a new era; leases that still run go on, later ones are gone. */
    public void goBackTo(Copy copy) {
        era++;
        revision = copy.revision();
        restore(copy.values());
        leaseOfKey.clear();
        leaseOfKey.putAll(copy.leaseOfKey());
        leases.keySet().retainAll(copy.leases());
    }

    /** Lets a key stay as if its lease were renewed for ever. */
    public void detachFromLease(String key) {
        leaseOfKey.remove(key);
    }

    @Override
    public long era() {
        return era;
    }

    private KeyValue qualified(KeyValue value) {
        return new KeyValue(value.key(), value.value(), StoreEra.qualify(era, value.revision()));
    }

    private void expectCurrent(long qualified) {
        if (!StoreEra.isValidIn(qualified, era)) {
            throw new AgatelaneException(FailureType.SWAP_LOST, "a revision or lease of an earlier era");
        }
    }

    @Override
    public CompletableFuture<Optional<KeyValue>> get(String key) {
        readCount++;
        return call(false, () -> {
            expireLeases();
            return Optional.ofNullable(values.get(key)).map(this::qualified);
        });
    }

    @Override
    public CompletableFuture<List<KeyValue>> list(String prefix) {
        readCount++;
        return call(false, () -> {
            expireLeases();
            return values.tailMap(prefix, true).values().stream()
                    .takeWhile(value -> value.key().startsWith(prefix))
                    .map(this::qualified)
                    .toList();
        });
    }

    @Override
    public CompletableFuture<Long> compareAndSet(String key, long expectedRevision, byte[] value) {
        return compareAndSet(key, expectedRevision, value, 0);
    }

    @Override
    public CompletableFuture<Long> compareAndSet(String key, long expectedRevision, byte[] value, long leaseId) {
        writeCount++;
        return call(true, () -> {
            expectRevision(key, expectedRevision);
            expectCurrent(leaseId);
            KeyValue written = new KeyValue(key, value.clone(), ++revision);
            values.put(key, written);
            leaseOfKey.remove(key);
            if (leaseId != 0) {
                leaseOfKey.put(key, StoreEra.number(leaseId));
            }
            List.copyOf(watchers.getOrDefault(key, List.of()))
                    .forEach(listener -> control.execute(() -> listener.accept(qualified(written))));
            return StoreEra.qualify(era, written.revision());
        });
    }

    @Override
    public CompletableFuture<Void> compareAndDelete(String key, long expectedRevision) {
        writeCount++;
        return call(true, () -> {
            expectRevision(key, expectedRevision);
            values.remove(key);
            leaseOfKey.remove(key);
            revision++;
            return null;
        });
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMillis) {
        writeCount++;
        return call(true, () -> {
            long id = ++revision;
            leases.put(id, new Lease(ttlMillis, control.monotonicMillis() + ttlMillis));
            return StoreEra.qualify(era, id);
        });
    }

    @Override
    public CompletableFuture<Long> renewLease(long leaseId) {
        writeCount++;
        return call(true, () -> {
            expireLeases();
            Lease lease = leases.get(StoreEra.number(leaseId));
            if (lease == null || !StoreEra.isValidIn(leaseId, era)) {
                return 0L;
            }
            leases.put(
                    StoreEra.number(leaseId), new Lease(lease.ttlMillis, control.monotonicMillis() + lease.ttlMillis));
            return lease.ttlMillis;
        });
    }

    @Override
    public CompletableFuture<Void> revokeLease(long leaseId) {
        writeCount++;
        return call(true, () -> {
            if (StoreEra.isValidIn(leaseId, era)) {
                endLease(StoreEra.number(leaseId));
            }
            return null;
        });
    }

    @Override
    public Subscription watch(String key, Consumer<KeyValue> listener) {
        readCount++;
        watchers.computeIfAbsent(key, unused -> new ArrayList<>()).add(listener);
        return () -> watchers.get(key).remove(listener);
    }

    @Override
    public boolean reachable() {
        return !outage;
    }

    private <T> CompletableFuture<T> call(boolean write, Supplier<T> effect) {
        CompletableFuture<T> result = new CompletableFuture<>();
        if (latencyMillis == 0) {
            apply(write, effect, result).run();
            return result;
        }
        long half = latencyMillis / 2;
        control.after(half, () -> {
            Runnable response = apply(write, effect, result);
            control.after(latencyMillis - half, response);
        });
        return result;
    }

    private <T> Runnable apply(boolean write, Supplier<T> effect, CompletableFuture<T> result) {
        if (outage) {
            return () -> result.completeExceptionally(
                    new AgatelaneException(FailureType.PLATFORM_UNAVAILABLE, "the platform is unavailable"));
        }
        try {
            T value = effect.get();
            if (write && responsesToLose > 0) {
                responsesToLose--;
                return () -> result.completeExceptionally(
                        new AgatelaneException(FailureType.WRITE_OUTCOME_UNKNOWN, "the response was lost"));
            }
            return () -> result.complete(value);
        } catch (AgatelaneException e) {
            return () -> result.completeExceptionally(e);
        }
    }

    private void expectRevision(String key, long expectedRevision) {
        expireLeases();
        KeyValue current = values.get(key);
        long actual = current == null ? 0 : StoreEra.qualify(era, current.revision());
        if (actual != expectedRevision) {
            throw new AgatelaneException(
                            FailureType.SWAP_LOST, "expected revision " + expectedRevision + ", found " + actual)
                    .withLocation(key);
        }
    }

    private void expireLeases() {
        long now = control.monotonicMillis();
        List<Long> ended = leases.entrySet().stream()
                .filter(entry -> entry.getValue().endMillis <= now)
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::endLease);
    }

    private void endLease(long leaseId) {
        leases.remove(leaseId);
        leaseOfKey.entrySet().removeIf(entry -> {
            boolean ended = entry.getValue() == leaseId;
            if (ended) {
                values.remove(entry.getKey());
            }
            return ended;
        });
    }

    private record Lease(long ttlMillis, long endMillis) {}
}
