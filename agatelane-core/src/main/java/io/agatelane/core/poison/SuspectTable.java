package io.agatelane.core.poison;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Request fingerprints with the engine crashes during which the requests ran. The size is bounded; the entries
 * that were not asked for longest are dropped first. Not thread-safe: callers synchronize on the table.
 */
public final class SuspectTable {
    /** Number of crashes from which on a fingerprint is quarantined. */
    public static final int QUARANTINE_CRASHES = 2;

    /** How long a fingerprint is remembered after its last crash, and after a request with it was refused. */
    public static final long QUARANTINE_MILLIS = 600_000;

    /** Longest time for which a fingerprint is remembered after its last crash, so that a harmless one is run again. */
    public static final long MAX_QUARANTINE_MILLIS = 3_600_000;

    private static final int MAX_ENTRIES = 10_000;

    private final Map<String, Suspect> suspects = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Suspect> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    private final AnswerHistory<String> answers = new AnswerHistory<>();

    /**
     * Crashes of one fingerprint.
     *
     * @param localCrashes crashes that this router observed itself
     * @param remoteCrashes largest number of crashes that another router reported
     * @param lastCrashMillis when the last crash became known to this router
     */
    public record Suspect(int localCrashes, int remoteCrashes, long lastCrashMillis, long expiresMillis) {
        /** Total of the known crashes. Other routers report only crashes that they observed, so the numbers add up. */
        public int crashes() {
            return localCrashes + remoteCrashes;
        }

        /** Returns the entry after a request with the fingerprint was refused. */
        public Suspect refused(long nowMillis) {
            long renewedMillis = Math.min(nowMillis + QUARANTINE_MILLIS, lastCrashMillis + MAX_QUARANTINE_MILLIS);
            return new Suspect(localCrashes, remoteCrashes, lastCrashMillis, Math.max(expiresMillis, renewedMillis));
        }
    }

    /** When requests were answered, by fingerprint. */
    public AnswerHistory<String> answers() {
        return answers;
    }

    public Map<String, Suspect> suspects() {
        return suspects;
    }
}
