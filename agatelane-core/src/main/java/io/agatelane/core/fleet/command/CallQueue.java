package io.agatelane.core.fleet.command;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Calls that wait for a slot: the most urgent priority first, then those of accounts within their share, then those with the least time left until their latency
 * objective, then in the order of arrival. Not thread-safe.
 *
 * @param <T> type of the requests
 */
final class CallQueue<T> {
    private final TreeSet<Entry<T>> entries = new TreeSet<>(
            Comparator.<Entry<T>>comparingInt(entry -> entry.call().priority())
                    .thenComparing(entry -> !entry.call().isPreferred())
                    .thenComparingLong(entry -> entry.call().objectiveMillis())
                    .thenComparingLong(Entry::sequence));
    private final Map<T, Entry<T>> byRequest = new HashMap<>();
    private long nextSequence;

    private record Entry<T>(CallConcurrency.Call<T> call, long sequence) {}

    void add(CallConcurrency.Call<T> call) {
        Entry<T> entry = new Entry<>(call, nextSequence++);
        if (byRequest.putIfAbsent(call.request(), entry) == null) {
            entries.add(entry);
        }
    }

    void remove(T request) {
        Entry<T> entry = byRequest.remove(request);
        if (entry != null) {
            entries.remove(entry);
        }
    }

    Optional<CallConcurrency.Call<T>> first() {
        return entries.isEmpty()
                ? Optional.empty()
                : Optional.of(entries.first().call());
    }

    /** Returns the first call whose deadline is before a time. */
    Optional<CallConcurrency.Call<T>> firstWithDeadlineBefore(double millis) {
        return entries.stream()
                .map(Entry::call)
                .filter(call -> call.deadlineMillis() < millis)
                .findFirst();
    }

    int size() {
        return entries.size();
    }

    /** Number of calls that are sent before a new one. */
    int countAhead(CallConcurrency.Call<T> call) {
        return entries.headSet(new Entry<>(call, nextSequence)).size();
    }
}
