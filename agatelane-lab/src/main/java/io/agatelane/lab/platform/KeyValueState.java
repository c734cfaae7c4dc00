package io.agatelane.lab.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Keys, revisions, leases and watches of the key-value service.
 *
 * <p>Keys are strings with one character per byte (ISO-8859-1), so that they sort by byte value. All methods hold one
 * lock; watch listeners run under it and therefore receive events in revision order.
 */
final class KeyValueState {
    private final LongSupplier clockMillis;
    private final int historyLimit;
    private final TreeMap<String, StoredValue> values = new TreeMap<>();
    private final Deque<StoredValue> history = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision = 1;
    private long nextLeaseId = 1_000;
    private long firstRetainedRevision = 2;

    KeyValueState(LongSupplier clockMillis, int historyLimit) {
        this.clockMillis = clockMillis;
        this.historyLimit = historyLimit;
    }

    synchronized long revision() {
        return revision;
    }

    /** Returns keys from {@code key} up to {@code rangeEnd} as etcd defines them; an empty end means one key. */
    synchronized List<StoredValue> range(String key, String rangeEnd) {
        if (rangeEnd.isEmpty()) {
            StoredValue value = values.get(key);
            return value == null ? List.of() : List.of(value);
        }
        if (rangeEnd.equals("\0")) {
            return List.copyOf(values.tailMap(key, true).values());
        }
        if (key.compareTo(rangeEnd) >= 0) {
            return List.of();
        }
        return List.copyOf(values.subMap(key, true, rangeEnd, false).values());
    }

    /** Runs {@code success} when every condition holds, else {@code failure}, with one new revision for all writes. */
    synchronized TxnResult txn(List<Compare> compares, List<Write> success, List<Write> failure) {
        boolean succeeded = compares.stream().allMatch(compare -> compare.holds(values.get(compare.key())));
        List<Write> chosen = succeeded ? success : failure;
        for (Write write : chosen) {
            requireLease(write.leaseId());
        }
        long newRevision = revision + 1;
        List<List<StoredValue>> previous = new ArrayList<>();
        for (Write write : chosen) {
            previous.add(apply(write, newRevision));
        }
        return new TxnResult(succeeded, revision, previous);
    }

    /** Grants a lease and returns its id; a requested id of 0 picks a new one. */
    synchronized long grantLease(long requestedId, long ttlSeconds) {
        long id = requestedId == 0 ? nextLeaseId++ : requestedId;
        leases.put(id, new Lease(ttlSeconds, clockMillis.getAsLong() + ttlSeconds * 1_000));
        return id;
    }

    /** Renews a lease and returns its time to live in seconds; 0 when the lease has ended or never existed. */
    synchronized long renewLease(long id) {
        expireLeases();
        Lease lease = leases.get(id);
        if (lease == null) {
            return 0;
        }
        leases.put(id, new Lease(lease.ttlSeconds(), clockMillis.getAsLong() + lease.ttlSeconds() * 1_000));
        return lease.ttlSeconds();
    }

    /** Ends a lease and deletes its keys; false when the lease does not exist. */
    synchronized boolean revokeLease(long id) {
        if (leases.remove(id) == null) {
            return false;
        }
        deleteKeysOf(id);
        return true;
    }

    /** Ends the leases whose time has passed. */
    synchronized void expireLeases() {
        long now = clockMillis.getAsLong();
        List<Long> expired = leases.entrySet().stream()
                .filter(entry -> entry.getValue().endMillis() <= now)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        expired.forEach(this::revokeLease);
    }

    /**
     * Starts a watch.
     *
     * @param startRevision first revision to report; 0 reports only writes after this call
     * @return 0, or without starting the watch the first revision in the history when the start revision lies before it
     */
    synchronized long watch(Watch watch, long startRevision) {
        if (startRevision > 0 && startRevision < firstRetainedRevision) {
            return firstRetainedRevision;
        }
        if (startRevision > 0) {
            history.stream()
                    .filter(value -> value.modRevision() >= startRevision && watch.covers(value.key()))
                    .forEach(watch.listener());
        }
        watches.add(watch);
        return 0;
    }

    synchronized void unwatch(Watch watch) {
        watches.remove(watch);
    }

    synchronized int watchCount() {
        return watches.size();
    }

    synchronized List<StoredValue> all() {
        return List.copyOf(values.values());
    }

    /** Replaces all values and the revision by an earlier state. Open watches stay open and get no event for it. */
    synchronized void restore(List<StoredValue> newValues, long newRevision) {
        values.clear();
        newValues.forEach(value -> values.put(value.key(), value));
        history.clear();
        revision = newRevision;
        firstRetainedRevision = newRevision + 1;
    }

    private List<StoredValue> apply(Write write, long newRevision) {
        if (write.value() == null) {
            List<StoredValue> deleted = range(write.key(), write.rangeEnd());
            deleted.forEach(value -> {
                values.remove(value.key());
                record(new StoredValue(value.key(), null, 0, newRevision, 0, 0));
            });
            return deleted;
        }
        StoredValue old = values.get(write.key());
        StoredValue value = new StoredValue(
                write.key(),
                write.value(),
                old == null ? newRevision : old.createRevision(),
                newRevision,
                old == null ? 1 : old.version() + 1,
                write.leaseId());
        values.put(write.key(), value);
        record(value);
        return old == null ? List.of() : List.of(old);
    }

    private void record(StoredValue value) {
        revision = value.modRevision();
        history.addLast(value);
        while (history.size() > historyLimit) {
            firstRetainedRevision = history.removeFirst().modRevision() + 1;
        }
        for (Watch watch : List.copyOf(watches)) {
            if (watch.covers(value.key())) {
                watch.listener().accept(value);
            }
        }
    }

    private void requireLease(long id) {
        expireLeases();
        if (id != 0 && !leases.containsKey(id)) {
            throw new LeaseNotFoundException();
        }
    }

    private void deleteKeysOf(long leaseId) {
        List<String> keys = values.values().stream()
                .filter(value -> value.leaseId() == leaseId)
                .map(StoredValue::key)
                .toList();
        if (!keys.isEmpty()) {
            long newRevision = revision + 1;
            keys.forEach(key -> apply(Write.delete(key, ""), newRevision));
        }
    }

    /** Condition that a key has a modification revision; 0 means that the key does not exist. */
    record Compare(String key, long modRevision) {
        boolean holds(StoredValue value) {
            return (value == null ? 0 : value.modRevision()) == modRevision;
        }
    }

    /** A put, or the delete of a key range when the value is {@code null}. */
    @SuppressWarnings("ArrayRecordComponent") // Writes are never compared.
    record Write(String key, String rangeEnd, byte[] value, long leaseId) {
        static Write put(String key, byte[] value, long leaseId) {
            return new Write(key, "", value, leaseId);
        }

        static Write delete(String key, String rangeEnd) {
            return new Write(key, rangeEnd, null, 0);
        }
    }

    /** Result of a transaction with the values that each operation replaced. */
    record TxnResult(boolean succeeded, long revision, List<List<StoredValue>> previous) {}

    /** An open watch on a key, or on a key range when the range end is not empty. */
    record Watch(String key, String rangeEnd, Consumer<StoredValue> listener) {
        boolean covers(String candidate) {
            if (rangeEnd.isEmpty()) {
                return candidate.equals(key);
            }
            return candidate.compareTo(key) >= 0 && (rangeEnd.equals("\0") || candidate.compareTo(rangeEnd) < 0);
        }
    }

    /** Thrown when a write or a revocation uses a lease that does not exist. */
    static final class LeaseNotFoundException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        LeaseNotFoundException() {
            super("etcdserver: requested lease not found");
        }
    }

    private record Lease(long ttlSeconds, long endMillis) {}
}
