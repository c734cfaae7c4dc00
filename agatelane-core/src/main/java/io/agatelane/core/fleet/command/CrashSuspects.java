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
 * Requests that were running when upstreams broke off, as seen by all routers. Bounded and thread-safe.
 *
 * <p>One such request takes an upstream away for seconds each time it runs. An innocent request that was running on a
 * crashing upstream is cleared by its first sound answer.
 */
public final class CrashSuspects {
    /** Breaks after which a request is not run any more: two may be chance, and each costs an upstream. */
    public static final int QUARANTINE_CRASHES = 3;

    /** How long a request is remembered after its last break, in milliseconds: callers have given up by then. */
    public static final long MEMORY_MILLIS = 60_000;

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
        private final Map<Long, Integer> counts = new HashMap<>();
        private long untilMillis;

        private int total() {
            return counts.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /**
     * Creates an empty memory.
     *
     * @param self hash of this router's name
     */
    public CrashSuspects(long self) {
        this.self = self;
    }

    /** Whether nothing is remembered, so that no fingerprint is needed. */
    public boolean isEmpty() {
        return empty;
    }

    /** Records that an upstream broke off while it ran a request. */
    public synchronized void crashed(long fingerprint, long nowMillis) {
        Suspect suspect = suspect(fingerprint, nowMillis);
        suspect.counts.merge(self, 1, Integer::sum);
        unsent.add(fingerprint);
    }

    /** Takes over what a router has seen. */
    public synchronized void heard(CrashReport report, long nowMillis) {
        if (report.reporter() != self) {
            suspect(report.fingerprint(), nowMillis).counts.merge(report.reporter(), report.count(), Math::max);
        }
    }

    /** Records a sound answer. */
    public synchronized void served(long fingerprint) {
        suspects.remove(fingerprint);
        unsent.remove(fingerprint);
        empty = suspects.isEmpty();
    }

    /** Whether a request has taken enough upstreams down. */
    public synchronized boolean isQuarantined(long fingerprint, long nowMillis) {
        suspects.values().removeIf(suspect -> suspect.untilMillis <= nowMillis);
        empty = suspects.isEmpty();
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null && suspect.total() >= QUARANTINE_CRASHES;
    }

    /** Takes what the other routers were not told yet. */
    public synchronized List<CrashReport> takeUnsent() {
        List<CrashReport> reports = new ArrayList<>();
        for (long fingerprint : unsent) {
            Suspect suspect = suspects.get(fingerprint);
            if (suspect != null) {
                reports.add(new CrashReport(fingerprint, self, suspect.counts.get(self)));
            }
        }
        unsent.clear();
        return reports;
    }

    private Suspect suspect(long fingerprint, long nowMillis) {
        Suspect suspect = suspects.computeIfAbsent(fingerprint, unknown -> new Suspect());
        suspect.untilMillis = nowMillis + MEMORY_MILLIS;
        empty = false;
        return suspect;
    }
}
