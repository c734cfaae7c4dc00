package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.CrashReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Requests that were running on upstreams when these crashed, as seen by all routers. Bounded and thread-safe.
 *
 * <p>A request that crashes upstreams makes one unavailable for seconds each time it runs. A harmless request that
 * happened to run on a crashing upstream is cleared by its first successful response.
 */
public final class CrashSuspects {
    /** Crashes after which a request is not run any more: two may be coincidence, and each one costs an upstream. */
    public static final int QUARANTINE_CRASHES = 3;

    /** Time for which a request is stored after its last crash: callers have stopped retrying by then. */
    public static final long RETENTION_MILLIS = 60_000;

    private static final int MAX_ENTRIES = 2_000;

    private final long self;
    private final Map<Long, Suspect> suspects = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Suspect> eldest) {
            return size() > MAX_ENTRIES;
        }
    };
    private final Set<Long> unsent = new LinkedHashSet<>();
    private volatile boolean empty = true;

    private static final class Suspect {
        private final Map<Long, Integer> crashesByReporter = new HashMap<>();
        private long expiresMillis;

        private int totalCrashes() {
            return crashesByReporter.values().stream()
                    .mapToInt(Integer::intValue)
                    .sum();
        }
    }

    /**
     * Creates an empty table.
     *
     * @param self hash of this router's name, to tell its own reports from those of others
     */
    public CrashSuspects(long self) {
        this.self = self;
    }

    /** Whether the table is empty, so that a request's fingerprint need not be computed. */
    public boolean isEmpty() {
        return empty;
    }

    /** Records that an upstream crashed while it ran a request. */
    public synchronized void recordCrash(long fingerprint, long nowMillis) {
        Suspect suspect = suspect(fingerprint, nowMillis);
        suspect.crashesByReporter.merge(self, 1, Integer::sum);
        unsent.add(fingerprint);
    }

    /** Merges the report of another router; reports of this router that come back are ignored. */
    public synchronized void mergeReport(CrashReport report, long nowMillis) {
        if (report.reporter() != self) {
            suspect(report.fingerprint(), nowMillis)
                    .crashesByReporter
                    .merge(report.reporter(), report.count(), Math::max);
        }
    }

    /** Records a successful response, which clears the request. */
    public synchronized void recordSuccess(long fingerprint) {
        suspects.remove(fingerprint);
        unsent.remove(fingerprint);
        empty = suspects.isEmpty();
    }

    /** Whether a request has crashed so many upstreams that it must not be run any more. */
    public synchronized boolean isQuarantined(long fingerprint, long nowMillis) {
        suspects.values().removeIf(suspect -> suspect.expiresMillis <= nowMillis);
        empty = suspects.isEmpty();
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null && suspect.totalCrashes() >= QUARANTINE_CRASHES;
    }

    /** Removes and returns the reports that have not been sent to the other routers yet. */
    public synchronized List<CrashReport> takeUnsent() {
        List<CrashReport> reports = new ArrayList<>();
        for (long fingerprint : unsent) {
            Suspect suspect = suspects.get(fingerprint);
            if (suspect != null) {
                reports.add(new CrashReport(fingerprint, self, suspect.crashesByReporter.get(self)));
            }
        }
        unsent.clear();
        return reports;
    }

    private Suspect suspect(long fingerprint, long nowMillis) {
        Suspect suspect = suspects.computeIfAbsent(fingerprint, unknown -> new Suspect());
        suspect.expiresMillis = nowMillis + RETENTION_MILLIS;
        empty = false;
        return suspect;
    }
}
