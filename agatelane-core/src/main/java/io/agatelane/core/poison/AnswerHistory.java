package io.agatelane.core.poison;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When requests, or parts of prompts, were last answered. Keeps those that were answered or asked for last. Not
 * thread-safe.
 *
 * @param <K> fingerprint of a request or a part
 */
public final class AnswerHistory<K> {
    /** Time for which an answer shows that a request does not crash the upstreams that run it. */
    public static final long EVIDENCE_MILLIS = 60_000;

    /**
     * Time within which upstreams end that fail together: they fall silent at one moment, but their last requests are given
     * up later.
     */
    public static final long COMMON_CAUSE_MILLIS = 5_000;

    private static final int MAX_ENTRIES = 4_000;
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final Map<K, Long> answeredMillis = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, Long> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /** Records an answer. */
    public void record(K fingerprint, long nowMillis) {
        answeredMillis.put(fingerprint, nowMillis);
    }

    /** Whether there was an answer at or after a time. */
    public boolean hasAnswerSince(K fingerprint, long sinceMillis) {
        return answeredMillis.getOrDefault(fingerprint, NEVER_MILLIS) >= sinceMillis;
    }

    /** Whether an answer speaks for the request at a crash. */
    public boolean speaksFor(K fingerprint, long crashMillis) {
        return hasAnswerSince(fingerprint, crashMillis - EVIDENCE_MILLIS);
    }
}
