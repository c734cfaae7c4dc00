package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.CrashReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The crashes of one request, as counted by each router that saw some. Not thread-safe. */
final class CrashSuspect {
    // A datagram is lost now and then, and all of a relay that has died until its members avoid it after 700 ms.
    private static final long REPEAT_MILLIS = 500;
    private static final long REPEATED_MILLIS = 5_000;
    // Most requests that run on a crashing upstream are harmless, and there are many of them.
    private static final long SINGLE_REPEAT_MILLIS = 1_000;
    private static final long SINGLE_REPEATED_MILLIS = 2_000;
    // A router that starts or returns learns of a refused request before it counts as being in touch, after 3 s.
    private static final long REFUSED_REPEAT_MILLIS = 2_000;
    private static final long REFUSED_REPEATED_MILLIS = 30_000;
    private static final long NEVER_MILLIS = Long.MAX_VALUE;
    // Far enough in the past for a first report at any time, without an overflow.
    private static final long LONG_AGO_MILLIS = Long.MIN_VALUE / 2;

    private final long fingerprint;
    private final Map<Long, Integer> crashesByReporter = new HashMap<>();
    private final Map<Long, Integer> clearedByReporter = new HashMap<>();
    private long lastCrashMillis;
    private long ownCrashMillis = LONG_AGO_MILLIS;
    private long clearedMillis = LONG_AGO_MILLIS;
    private long refusedMillis = LONG_AGO_MILLIS;
    private long reportedMillis = LONG_AGO_MILLIS;
    private long expiresMillis;

    CrashSuspect(long fingerprint) {
        this.fingerprint = fingerprint;
    }

    void recordOwn(long self, long nowMillis) {
        crashesByReporter.merge(self, 1, Integer::sum);
        lastCrashMillis = nowMillis;
        ownCrashMillis = nowMillis;
        reportedMillis = LONG_AGO_MILLIS;
        renew(nowMillis);
    }

    /** Merges a report; false when it tells nothing new. */
    boolean merge(CrashReport report, long nowMillis) {
        long reporter = report.reporter();
        boolean isNew;
        if (report.isClearance()) {
            isNew = raise(clearedByReporter, reporter, report.clearedCount());
        } else {
            isNew = raise(crashesByReporter, reporter, report.count());
            if (isNew) {
                lastCrashMillis = nowMillis;
            } else if (report.count() <= cleared(reporter)) {
                // Another router has missed the clearance.
                clearedMillis = nowMillis;
            }
        }
        renew(nowMillis);
        return isNew;
    }

    private static boolean raise(Map<Long, Integer> counts, long reporter, int count) {
        boolean isNew = count > counts.getOrDefault(reporter, 0);
        if (isNew) {
            counts.put(reporter, count);
        }
        return isNew;
    }

    private int cleared(long reporter) {
        return clearedByReporter.getOrDefault(reporter, 0);
    }

    void recordRefused(long nowMillis) {
        refusedMillis = nowMillis;
        renew(nowMillis);
    }

    /** Disregards the crashes up to now. Their counts stay, because other routers may report them again. */
    void clear(long nowMillis) {
        if (crashes() > 1) {
            clearedMillis = nowMillis;
            reportedMillis = LONG_AGO_MILLIS;
        }
        clearedByReporter.putAll(crashesByReporter);
    }

    /** Number of crashes since the request was cleared. */
    int crashes() {
        int crashes = 0;
        for (Map.Entry<Long, Integer> entry : crashesByReporter.entrySet()) {
            crashes += Math.max(0, entry.getValue() - cleared(entry.getKey()));
        }
        return crashes;
    }

    boolean isExpired(long nowMillis) {
        return expiresMillis <= nowMillis;
    }

    /** Whether the reports on the request are to be sent now. */
    boolean isDue(long nowMillis) {
        return nowMillis - reportedMillis >= repeatMillis(nowMillis);
    }

    /** Returns the reports of all routers on the request, and records that they are sent. */
    List<CrashReport> takeReports(long nowMillis) {
        reportedMillis = nowMillis;
        List<CrashReport> reports = new ArrayList<>();
        crashesByReporter.forEach((reporter, count) -> {
            if (count > cleared(reporter)) {
                reports.add(new CrashReport(fingerprint, reporter, count));
            }
        });
        clearedByReporter.forEach(
                (reporter, count) -> reports.add(CrashReport.clearance(fingerprint, reporter, count)));
        return reports;
    }

    private long repeatMillis(long nowMillis) {
        int crashes = crashes();
        if (crashes > 1 && nowMillis - lastCrashMillis <= REPEATED_MILLIS) {
            return REPEAT_MILLIS;
        }
        long cameMillis = Math.max(refusedMillis, lastCrashMillis);
        if (crashes >= CrashSuspects.QUARANTINE_CRASHES && nowMillis - cameMillis <= REFUSED_REPEATED_MILLIS) {
            return REFUSED_REPEAT_MILLIS;
        }
        boolean isOwn = crashes > 0 && nowMillis - ownCrashMillis <= SINGLE_REPEATED_MILLIS;
        boolean isCleared = nowMillis - clearedMillis <= SINGLE_REPEATED_MILLIS;
        return isOwn || isCleared ? SINGLE_REPEAT_MILLIS : NEVER_MILLIS;
    }

    private void renew(long nowMillis) {
        expiresMillis = Math.min(
                nowMillis + CrashSuspects.RETENTION_MILLIS, lastCrashMillis + CrashSuspects.MAX_RETENTION_MILLIS);
    }
}
