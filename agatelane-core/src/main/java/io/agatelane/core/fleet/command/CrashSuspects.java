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

    /** Time for which a request is stored after it came last: callers have stopped retrying by then. */
    public static final long RETENTION_MILLIS = 60_000;

    /** Longest time for which a request is stored after its last crash, so that a harmless one is run again. */
    public static final long MAX_RETENTION_MILLIS = 600_000;

    // A router that has started meanwhile, or has not seen the request, learns within this time that it is refused.
    private static final long REPEAT_MILLIS = 5_000;

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
        private long lastCrashMillis;
        private long expiresMillis;
        private long reportedMillis;

        private void renew(long nowMillis) {
            expiresMillis = Math.min(nowMillis + RETENTION_MILLIS, lastCrashMillis + MAX_RETENTION_MILLIS);
        }

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
        suspect.reportedMillis = nowMillis;
        unsent.add(fingerprint);
    }

    /** Merges a report, which may be one of this router, from before it was restarted. */
    public synchronized void mergeReport(CrashReport report, long nowMillis) {
        Suspect known = suspects.get(report.fingerprint());
        int knownCount = known == null ? 0 : known.crashesByReporter.getOrDefault(report.reporter(), 0);
        if (report.count() > knownCount) {
            suspect(report.fingerprint(), nowMillis).crashesByReporter.put(report.reporter(), report.count());
        } else if (known != null) {
            known.renew(nowMillis);
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
        boolean quarantined = suspect != null && suspect.totalCrashes() >= QUARANTINE_CRASHES;
        if (quarantined) {
            suspect.renew(nowMillis);
            if (nowMillis - suspect.reportedMillis >= REPEAT_MILLIS) {
                suspect.reportedMillis = nowMillis;
                unsent.add(fingerprint);
            }
        }
        return quarantined;
    }

    /** Removes and returns the reports that have not been sent to the other routers yet. */
    public synchronized List<CrashReport> takeUnsent() {
        List<CrashReport> reports = new ArrayList<>();
        for (long fingerprint : unsent) {
            Suspect suspect = suspects.get(fingerprint);
            if (suspect != null) {
                suspect.crashesByReporter.forEach(
                        (reporter, count) -> reports.add(new CrashReport(fingerprint, reporter, count)));
            }
        }
        unsent.clear();
        return reports;
    }

    private Suspect suspect(long fingerprint, long nowMillis) {
        Suspect suspect = suspects.computeIfAbsent(fingerprint, unknown -> new Suspect());
        suspect.lastCrashMillis = nowMillis;
        suspect.renew(nowMillis);
        empty = false;
        return suspect;
    }
}
