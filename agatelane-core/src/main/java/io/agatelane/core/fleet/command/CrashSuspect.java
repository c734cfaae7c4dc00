package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.CrashReport;
import io.agatelane.core.hash.Rendezvous;
import io.agatelane.core.poison.AnswerHistory;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The crashes of upstreams that ran one request, as seen by all routers. Not thread-safe. */
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
    // Two routers notice the same lost connection within this time; an upstream takes longer to start again.
    private static final long SAME_CRASH_MILLIS = 1_000;
    private static final int MAX_CRASHES = 32;
    private static final long NEVER_MILLIS = Long.MAX_VALUE;
    // Far enough in the past for a first report at any time, without an overflow.
    private static final long LONG_AGO_MILLIS = Long.MIN_VALUE / 2;

    private final long fingerprint;
    private final Map<Long, Crash> crashes = new LinkedHashMap<>();
    private long lastCrashMillis = LONG_AGO_MILLIS;
    private long ownCrashMillis = LONG_AGO_MILLIS;
    private long clearedMillis = LONG_AGO_MILLIS;
    private long refusedMillis = LONG_AGO_MILLIS;
    private long reportedMillis = LONG_AGO_MILLIS;
    private long expiresMillis;

    CrashSuspect(long fingerprint) {
        this.fingerprint = fingerprint;
    }

    private record Crash(long millis, boolean wasAnswered, boolean isCleared) {
        private static final Crash CLEARED = new Crash(LONG_AGO_MILLIS, true, true);
    }

    /** Records that an upstream was seen to crash; false when another router has reported the same crash. */
    boolean recordCrash(long upstream, boolean wasAnswered, long nowMillis) {
        int number = 0;
        Crash known = crashes.get(upstream);
        while (known != null && Math.abs(nowMillis - known.millis()) >= SAME_CRASH_MILLIS) {
            number++;
            known = crashes.get(id(upstream, number));
        }
        return addOwn(id(upstream, number), new Crash(nowMillis, wasAnswered, false), nowMillis);
    }

    /**
     * Records that an upstream has ended after the request was given up there; false when a crash of it is known.
     *
     * @param givenUpMillis when the request was given up
     */
    boolean recordEnd(long upstream, long givenUpMillis, boolean wasAnswered, long nowMillis) {
        return addOwn(upstream, new Crash(givenUpMillis, wasAnswered, false), nowMillis);
    }

    private static long id(long upstream, int number) {
        return number == 0 ? upstream : Rendezvous.weight(upstream, number);
    }

    private boolean addOwn(long id, Crash crash, long nowMillis) {
        boolean isNew = add(id, crash);
        if (isNew) {
            lastCrashMillis = nowMillis;
            ownCrashMillis = nowMillis;
            reportedMillis = LONG_AGO_MILLIS;
        }
        renew(nowMillis);
        return isNew;
    }

    private boolean add(long id, Crash crash) {
        return crashes.size() < MAX_CRASHES && crashes.putIfAbsent(id, crash) == null;
    }

    /** Merges a report; false when it tells nothing new. */
    boolean merge(CrashReport report, long nowMillis) {
        Crash known = crashes.get(report.crash());
        boolean isNew;
        if (report.isClearance()) {
            isNew = known == null ? add(report.crash(), Crash.CLEARED) : !known.isCleared();
            crashes.computeIfPresent(report.crash(), (id, crash) -> Crash.CLEARED);
        } else if (known == null) {
            isNew = add(report.crash(), new Crash(nowMillis - report.ageMillis(), report.wasAnswered(), false));
            lastCrashMillis = isNew ? Math.max(lastCrashMillis, nowMillis - report.ageMillis()) : lastCrashMillis;
        } else if (known.isCleared()) {
            // Another router has missed the clearance.
            clearedMillis = nowMillis;
            isNew = false;
        } else {
            isNew = report.wasAnswered() && !known.wasAnswered();
            if (isNew) {
                crashes.put(report.crash(), new Crash(known.millis(), true, false));
            }
        }
        renew(nowMillis);
        return isNew;
    }

    void recordRefused(long nowMillis) {
        refusedMillis = nowMillis;
        renew(nowMillis);
    }

    /** Disregards the crashes up to now. They stay known, because other routers may report them again. */
    void clear(long nowMillis) {
        if (crashes() > 1) {
            clearedMillis = nowMillis;
            reportedMillis = LONG_AGO_MILLIS;
        }
        crashes.replaceAll((id, crash) -> Crash.CLEARED);
    }

    /**
     * Number of crashes since the request was cleared. Crashes at about the same time count as one for a request that
     * had been answered before: it is at most upstreams at most times, so it is also there when these fail together.
     */
    int crashes() {
        List<Crash> counted =
                crashes.values().stream().filter(crash -> !crash.isCleared()).toList();
        if (counted.stream().noneMatch(Crash::wasAnswered)) {
            return counted.size();
        }
        long[] times = counted.stream().mapToLong(Crash::millis).sorted().toArray();
        int causes = 0;
        long firstMillis = LONG_AGO_MILLIS;
        for (long millis : times) {
            if (millis - firstMillis > AnswerHistory.COMMON_CAUSE_MILLIS) {
                causes++;
                firstMillis = millis;
            }
        }
        return causes;
    }

    boolean isCleared(long crash) {
        Crash known = crashes.get(crash);
        return known != null && known.isCleared();
    }

    /** Returns reports of the latest crashes that are not cleared. */
    List<CrashReport> latestCrashes(int maxCrashes, long nowMillis) {
        return crashes.entrySet().stream()
                .filter(entry -> !entry.getValue().isCleared())
                .sorted(Comparator.comparing(entry -> -entry.getValue().millis()))
                .limit(maxCrashes)
                .map(entry -> report(entry.getKey(), entry.getValue(), nowMillis))
                .toList();
    }

    boolean isExpired(long nowMillis) {
        return expiresMillis <= nowMillis;
    }

    /** Whether the reports on the request are to be sent now. */
    boolean isDue(long nowMillis) {
        return nowMillis - reportedMillis >= repeatMillis(nowMillis);
    }

    /** Returns the reports on the request, those of other routers too, and records that they are sent. */
    List<CrashReport> takeReports(long nowMillis) {
        reportedMillis = nowMillis;
        return crashes.entrySet().stream()
                .map(entry -> report(entry.getKey(), entry.getValue(), nowMillis))
                .toList();
    }

    private CrashReport report(long id, Crash crash, long nowMillis) {
        return crash.isCleared()
                ? CrashReport.clearance(fingerprint, id)
                : CrashReport.crash(fingerprint, id, Math.max(0, nowMillis - crash.millis()), crash.wasAnswered());
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
