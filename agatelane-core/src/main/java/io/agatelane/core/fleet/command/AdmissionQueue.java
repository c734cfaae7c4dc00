package io.agatelane.core.fleet.command;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Requests that wait until an engine has room for them: the most urgent first, then in the order of arrival.
 * Thread-safe.
 *
 * <p>Waiting here instead of at an engine lets a request go to whichever engine has room first, and keeps engines from
 * preempting requests that they already run.
 *
 * @param <T> type of the requests, compared by identity of their entries
 */
public final class AdmissionQueue<T> {
    // Weight of the newest pause between two admissions in their mean.
    private static final double NEWEST_WEIGHT = 0.1;

    private final TreeSet<Entry<T>> entries =
            new TreeSet<>(Comparator.<Entry<T>>comparingInt(Entry::priority).thenComparingLong(Entry::sequence));
    private final Map<T, Entry<T>> byRequest = new HashMap<>();
    private long nextSequence;
    private long lastAdmittedMillis = Long.MIN_VALUE;
    private double meanPauseMillis;

    private record Entry<T>(T request, int priority, long sequence) {}

    /** Adds a request behind those of the same priority. */
    public synchronized void add(T request, int priority) {
        Entry<T> entry = new Entry<>(request, priority, nextSequence++);
        if (byRequest.putIfAbsent(request, entry) == null) {
            entries.add(entry);
        }
    }

    /** Removes a request that no longer waits; without effect when it does not wait. */
    public synchronized void remove(T request) {
        Entry<T> entry = byRequest.remove(request);
        if (entry != null) {
            entries.remove(entry);
        }
        if (entries.isEmpty()) {
            // The pause until the next admission depends on the callers, not on the engines.
            lastAdmittedMillis = Long.MIN_VALUE;
        }
    }

    /** Records that the first request was admitted, from which the pace of the queue is estimated. */
    public synchronized void recordAdmission(long nowMillis) {
        if (lastAdmittedMillis != Long.MIN_VALUE) {
            meanPauseMillis += NEWEST_WEIGHT * (nowMillis - lastAdmittedMillis - meanPauseMillis);
        }
        lastAdmittedMillis = nowMillis;
    }

    /** Returns the request that is to be admitted next. */
    public synchronized Optional<T> first() {
        return entries.isEmpty()
                ? Optional.empty()
                : Optional.of(entries.first().request());
    }

    /** Number of requests that are served before a new one of a priority. */
    public synchronized int countAhead(int priority) {
        return (int)
                entries.stream().filter(entry -> entry.priority() <= priority).count();
    }

    /** Returns how long a new request of a priority will probably wait. */
    public synchronized long expectedWaitMillis(int priority) {
        return Math.round(countAhead(priority) * meanPauseMillis);
    }
}
