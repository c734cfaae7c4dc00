package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.CrashReport;
import io.agatelane.core.poison.AnswerHistory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Requests that were running on upstreams when these crashed, as seen by all routers. Bounded and thread-safe.
 *
 * <p>A request that crashes upstreams makes one unavailable for seconds each time it runs, and is never answered. A
 * harmless request that happened to run on a crashing upstream is cleared by its first successful response, on all
 * routers if some may count more than one crash of it. One that many callers repeat runs on most upstreams at most times,
 * so ends of several upstreams at once count as one crash for a request that was answered shortly before.
 *
 * <p>Every router that knows of more than one crash of a request repeats all reports on it for some seconds, so that
 * the routers agree although datagrams are lost and relays change.
 */
public final class CrashSuspects {
    /** Crashes after which a request is not run any more: two may be coincidence, and each one costs an upstream. */
    public static final int QUARANTINE_CRASHES = 3;

    /** Time for which a request is stored after it came last: callers have stopped retrying by then. */
    public static final long RETENTION_MILLIS = 60_000;

    /** Longest time for which a request is stored after its last crash, so that a harmless one is run again. */
    public static final long MAX_RETENTION_MILLIS = 600_000;

    /** Number of crashes of one request that are enough to refuse it again. */
    static final int MAX_KEPT_CRASHES = 6;

    private static final long PURGE_MILLIS = 1_000;
    // Each crash of an upstream makes suspects of all requests on it, and nearly all of them are seen only once. They
    // have a table of their own so that they cannot displace those that were seen again.
    private static final int MAX_ENTRIES = 2_000;
    // Two datagrams or three; what does not fit is sent with the next digest.
    private static final int MAX_REPORTS = 100;

    private final AnswerHistory<Long> answers = new AnswerHistory<>();
    private final Map<Long, CrashSuspect> seenOnce = leastRecentlyUsed();
    private final Map<Long, CrashSuspect> seenAgain = leastRecentlyUsed();
    private long purgedMillis;
    private volatile boolean empty = true;

    /** Whether the table is empty, so that a request's fingerprint need not be computed. */
    public boolean isEmpty() {
        return empty;
    }

    /**
     * Records that an upstream was seen to crash while it ran a request.
     *
     * @param upstream hash of the key of the upstream
     */
    public synchronized void recordCrash(long fingerprint, long upstream, long nowMillis) {
        CrashSuspect suspect = suspect(fingerprint, nowMillis);
        suspect.recordCrash(upstream, answers.speaksFor(fingerprint, nowMillis), nowMillis);
        store(fingerprint, suspect);
    }

    /**
     * Records that an upstream has ended after a request was given up there. An answer since then, from any upstream,
     * shows that the end had another cause.
     *
     * @param upstream hash of the key of the upstream
     * @return whether the end counts as a crash by the request
     */
    public synchronized boolean recordEnd(long fingerprint, long upstream, long givenUpMillis, long nowMillis) {
        if (answers.hasAnswerSince(fingerprint, givenUpMillis)) {
            return false;
        }
        CrashSuspect suspect = suspect(fingerprint, nowMillis);
        boolean wasAnswered = answers.speaksFor(fingerprint, givenUpMillis);
        boolean counts = suspect.recordEnd(upstream, givenUpMillis, wasAnswered, nowMillis);
        store(fingerprint, suspect);
        return counts;
    }

    /** Merges a report, which may be one of this router. */
    public synchronized void mergeReport(CrashReport report, long nowMillis) {
        CrashSuspect suspect = suspect(report.fingerprint(), nowMillis);
        if (suspect.merge(report, nowMillis)) {
            store(report.fingerprint(), suspect);
        }
    }

    /** Records a successful response, which clears the request and speaks for it at later crashes. */
    public synchronized void recordSuccess(long fingerprint, long nowMillis) {
        answers.record(fingerprint, nowMillis);
        CrashSuspect suspect = known(fingerprint);
        if (suspect != null) {
            suspect.clear(nowMillis);
            store(fingerprint, suspect);
        }
    }

    /** Whether a request has crashed so many upstreams that it must not be run any more. */
    public synchronized boolean isQuarantined(long fingerprint, long nowMillis) {
        purge(nowMillis);
        CrashSuspect suspect = seenAgain.get(fingerprint);
        boolean quarantined =
                suspect != null && !suspect.isExpired(nowMillis) && suspect.crashes() >= QUARANTINE_CRASHES;
        if (quarantined) {
            suspect.recordRefused(nowMillis);
        }
        return quarantined;
    }

    /** Returns the crashes for which requests are refused, at most {@value #MAX_KEPT_CRASHES} of each request. */
    public synchronized List<CrashReport> quarantine(long nowMillis) {
        return seenAgain.values().stream()
                .filter(suspect -> !suspect.isExpired(nowMillis) && suspect.crashes() >= QUARANTINE_CRASHES)
                .flatMap(suspect -> suspect.latestCrashes(MAX_KEPT_CRASHES, nowMillis).stream())
                .toList();
    }

    /** Whether a crash by a request is known to be cleared. */
    public synchronized boolean isCleared(long fingerprint, long crash) {
        CrashSuspect suspect = known(fingerprint);
        return suspect != null && suspect.isCleared(crash);
    }

    /** Returns the reports that are due to be sent to the other routers: new ones, and some again. */
    public synchronized List<CrashReport> takeReports(long nowMillis) {
        if (empty) {
            return List.of();
        }
        purge(nowMillis);
        List<CrashReport> reports = new ArrayList<>();
        Stream.concat(seenAgain.values().stream(), seenOnce.values().stream())
                .filter(suspect -> suspect.isDue(nowMillis))
                .takeWhile(suspect -> reports.size() < MAX_REPORTS)
                .forEach(suspect -> reports.addAll(suspect.takeReports(nowMillis)));
        return reports;
    }

    private CrashSuspect known(long fingerprint) {
        CrashSuspect again = seenAgain.get(fingerprint);
        return again == null ? seenOnce.get(fingerprint) : again;
    }

    private CrashSuspect suspect(long fingerprint, long nowMillis) {
        CrashSuspect known = known(fingerprint);
        return known == null || known.isExpired(nowMillis) ? new CrashSuspect(fingerprint) : known;
    }

    private void store(long fingerprint, CrashSuspect suspect) {
        boolean isSeenAgain = suspect.crashes() > 1;
        (isSeenAgain ? seenOnce : seenAgain).remove(fingerprint);
        (isSeenAgain ? seenAgain : seenOnce).put(fingerprint, suspect);
        empty = false;
    }

    private void purge(long nowMillis) {
        if (nowMillis - purgedMillis < PURGE_MILLIS) {
            return;
        }
        purgedMillis = nowMillis;
        seenOnce.values().removeIf(suspect -> suspect.isExpired(nowMillis));
        seenAgain.values().removeIf(suspect -> suspect.isExpired(nowMillis));
        empty = seenOnce.isEmpty() && seenAgain.isEmpty();
    }

    private static Map<Long, CrashSuspect> leastRecentlyUsed() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, CrashSuspect> eldest) {
                return size() > MAX_ENTRIES;
            }
        };
    }
}
