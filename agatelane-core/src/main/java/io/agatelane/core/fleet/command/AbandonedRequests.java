package io.agatelane.core.fleet.command;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests that were given up without a response, by the upstream that they were sent to. Bounded and thread-safe.
 *
 * <p>The router closes the connection of such a request, so it cannot see the upstream crash while it runs the request.
 * The end of the upstream soon afterwards counts as a crash by it. Parts of prompts are not suspected: the time of such
 * an end is known only to the second, so engines that end together could not be told from others.
 */
public final class AbandonedRequests {
    // Longer than a request waits for its turn at an upstream, and than the entry of a crashed upstream is listed.
    private static final long RETENTION_MILLIS = 10_000;
    private static final int MAX_UPSTREAMS = 1_000;
    private static final int MAX_REQUESTS_OF_UPSTREAM = 100;

    private final Map<String, Map<Long, Abandoned>> byUpstream = bounded(MAX_UPSTREAMS);

    /** A request that was given up. */
    public record Abandoned(long fingerprint, long sinceMillis) {}

    /** Records that a request was given up without a response. */
    public synchronized void record(String upstreamKey, Abandoned abandoned) {
        byUpstream
                .computeIfAbsent(upstreamKey, unknown -> bounded(MAX_REQUESTS_OF_UPSTREAM))
                .put(abandoned.fingerprint(), abandoned);
    }

    /** Removes and returns the requests that were given up at an upstream shortly before it ended. */
    public synchronized Collection<Abandoned> takeEnded(String upstreamKey, long nowMillis) {
        Map<Long, Abandoned> requests = byUpstream.remove(upstreamKey);
        return requests == null
                ? List.of()
                : requests.values().stream()
                        .filter(abandoned -> nowMillis - abandoned.sinceMillis() <= RETENTION_MILLIS)
                        .toList();
    }

    /** Removes the requests of an upstream that leaves as planned, whose end is no crash. */
    public synchronized void forget(String upstreamKey) {
        byUpstream.remove(upstreamKey);
    }

    private static <K, V> Map<K, V> bounded(int maxEntries) {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > maxEntries;
            }
        };
    }
}
