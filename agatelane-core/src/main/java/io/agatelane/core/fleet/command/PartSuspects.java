package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.PartReport;
import io.agatelane.core.fleet.PromptPart;
import io.agatelane.core.fleet.query.PartQuarantine;
import io.agatelane.core.fleet.query.PartQuarantine.EngineEnd;
import io.agatelane.core.hash.Rendezvous;
import io.agatelane.core.poison.AnswerHistory;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Shared parts of prompts under which engines have ended, as seen by all routers. Bounded and thread-safe.
 *
 * <p>Prompts with a part that ends engines need have nothing else in common, so such requests cannot be recognized as
 * repeats. A part that was answered is cleared, and so are all parts of an engine that responds after its supposed end.
 */
public final class PartSuspects {
    /** Time for which an end counts towards a quarantine. */
    public static final long RETENTION_MILLIS = 60_000;

    /** Time for which a quarantined part is refused after the last end. */
    public static final long QUARANTINE_MILLIS = 600_000;

    // A datagram may be lost, and a router that has started again knows nothing.
    private static final long REPEAT_MILLIS = 1_000;
    // The members of a relay that has died send to another one after 700 ms.
    private static final long OWN_REPEATED_MILLIS = 2_000;
    private static final int MAX_ENDS = 200;
    private static final int MAX_PARTS_OF_END = 100;
    private static final int MAX_CLEARED = 2_000;
    private static final int MAX_REPEATED = 100;

    private final Map<Long, EngineEnd> ends = bounded(MAX_ENDS);
    private final Map<Long, Long> clearedMillis = bounded(MAX_CLEARED);
    private final AnswerHistory<Long> answers = new AnswerHistory<>();
    private final Map<PartAtEngine, Long> ownSinceMillis = bounded(MAX_REPEATED);
    private final Set<PartAtEngine> unsentEnds = new LinkedHashSet<>();
    private final Set<Long> unsentClearances = new LinkedHashSet<>();
    private long repeatedMillis;
    private volatile boolean empty = true;
    private volatile Map<Long, Long> quarantinedUntilMillis = Map.of();

    private record PartAtEngine(long part, long engine) {}

    /** Returns the fingerprint of a part. Parts with the same id have the same content, whatever the model. */
    public static long fingerprint(PromptPart part) {
        return Rendezvous.hash(part.id());
    }

    /** Records that an engine ended before it had begun to answer a prompt with these parts. */
    public synchronized void recordEnd(Collection<Long> parts, long engine, long nowMillis) {
        for (long part : parts) {
            if (addEnd(part, engine, nowMillis)) {
                unsentEnds.add(new PartAtEngine(part, engine));
                ownSinceMillis.put(new PartAtEngine(part, engine), nowMillis);
                update(nowMillis);
            }
        }
    }

    /** Records that a prompt with these parts was answered completely. */
    public synchronized void recordAnswer(Collection<Long> parts, long nowMillis) {
        for (long part : parts) {
            answers.record(part, nowMillis);
            if (!empty && clear(part, nowMillis)) {
                unsentClearances.add(part);
                update(nowMillis);
            }
        }
    }

    /**
     * Records that an engine responded, which shows that it had not ended before the request was sent.
     *
     * @param sentMillis when the request was sent, as monotonic time
     */
    public void recordResponse(long engine, long sentMillis) {
        if (empty) {
            return;
        }
        synchronized (this) {
            EngineEnd end = ends.get(engine);
            if (end != null && end.millis() < sentMillis) {
                ends.remove(engine);
                update(sentMillis);
            }
        }
    }

    /** Merges a report of another router. */
    public synchronized void merge(PartReport report, long nowMillis) {
        long millis = nowMillis - report.ageMillis();
        boolean isNew;
        if (report.engine().isEmpty()) {
            isNew = clear(report.part(), millis);
        } else if (isCleared(report.part(), millis)) {
            // The other router has missed the clearance.
            isNew = unsentClearances.add(report.part());
        } else {
            isNew = addEnd(report.part(), report.engine().getAsLong(), millis);
        }
        if (isNew) {
            update(nowMillis);
        }
    }

    /** Returns for how long prompts with these parts are refused; empty when they may be sent. */
    public OptionalLong quarantineMillis(Collection<Long> parts, long nowMillis) {
        Map<Long, Long> untilMillis = quarantinedUntilMillis;
        return parts.stream()
                .filter(untilMillis::containsKey)
                .mapToLong(part -> untilMillis.get(part) - nowMillis)
                .filter(millis -> millis > 0)
                .max();
    }

    /**
     * Removes and returns the reports that are due: new ones, those of this router's last ends once more, and from time
     * to time those of quarantined parts.
     */
    public synchronized List<PartReport> takeReports(long nowMillis) {
        if (empty) {
            return List.of();
        }
        update(nowMillis);
        if (nowMillis - repeatedMillis >= REPEAT_MILLIS) {
            repeatedMillis = nowMillis;
            ownSinceMillis.values().removeIf(millis -> nowMillis - millis > OWN_REPEATED_MILLIS);
            unsentEnds.addAll(ownSinceMillis.keySet());
            unsentEnds.addAll(endsOfQuarantined());
        }
        List<PartReport> reports = new ArrayList<>();
        for (PartAtEngine unsent : unsentEnds) {
            EngineEnd end = ends.get(unsent.engine());
            if (end != null && end.parts().contains(unsent.part())) {
                reports.add(report(unsent, end, nowMillis));
            }
        }
        for (long part : unsentClearances) {
            long millis = clearedMillis.getOrDefault(part, nowMillis);
            reports.add(new PartReport(part, OptionalLong.empty(), Math.max(0, nowMillis - millis)));
        }
        unsentEnds.clear();
        unsentClearances.clear();
        return reports;
    }

    /** Returns the ends of engines for which parts are refused. */
    public synchronized List<PartReport> quarantine(long nowMillis) {
        return endsOfQuarantined().stream()
                .map(end -> report(end, ends.get(end.engine()), nowMillis))
                .toList();
    }

    /** Merges ends for which parts were refused before this router started, which can be older than others. */
    public synchronized void restore(List<PartReport> reports, long nowMillis) {
        for (PartReport report : reports) {
            long millis = nowMillis - report.ageMillis();
            if (report.engine().isPresent() && !isCleared(report.part(), millis)) {
                addEnd(report.part(), report.engine().getAsLong(), millis);
            }
        }
        updateQuarantine();
        update(nowMillis);
    }

    /** Whether a part was answered after an end, as far as it was suspected then. */
    public synchronized boolean isCleared(long part, long endMillis) {
        return endMillis <= clearedMillis.getOrDefault(part, Long.MIN_VALUE);
    }

    private static PartReport report(PartAtEngine at, EngineEnd end, long nowMillis) {
        return new PartReport(at.part(), OptionalLong.of(at.engine()), Math.max(0, nowMillis - end.millis()));
    }

    private List<PartAtEngine> endsOfQuarantined() {
        return ends.entrySet().stream()
                .flatMap(entry -> entry.getValue().parts().stream()
                        .filter(quarantinedUntilMillis::containsKey)
                        .map(part -> new PartAtEngine(part, entry.getKey())))
                .limit(MAX_REPEATED)
                .toList();
    }

    private boolean addEnd(long part, long engine, long millis) {
        EngineEnd known = ends.get(engine);
        Set<Long> parts = known == null ? new HashSet<>() : new HashSet<>(known.parts());
        if (parts.size() >= MAX_PARTS_OF_END || !parts.add(part)) {
            return false;
        }
        ends.put(engine, new EngineEnd(known == null ? millis : Math.min(known.millis(), millis), parts));
        return true;
    }

    private boolean clear(long part, long millis) {
        boolean isSuspected = false;
        for (Map.Entry<Long, EngineEnd> entry : ends.entrySet()) {
            EngineEnd end = entry.getValue();
            if (end.millis() <= millis && end.parts().contains(part)) {
                Set<Long> parts = new HashSet<>(end.parts());
                parts.remove(part);
                entry.setValue(new EngineEnd(end.millis(), parts));
                isSuspected = true;
            }
        }
        if (isSuspected) {
            clearedMillis.merge(part, millis, Math::max);
        }
        return isSuspected;
    }

    private void update(long nowMillis) {
        ends.values().removeIf(end -> nowMillis - end.millis() >= maxAgeMillis(end));
        updateQuarantine();
        empty = ends.isEmpty() && unsentClearances.isEmpty();
    }

    private void updateQuarantine() {
        Set<Long> quarantined = PartQuarantine.quarantined(ends.values(), answers::speaksFor);
        Map<Long, Long> untilMillis = new HashMap<>();
        for (EngineEnd end : ends.values()) {
            for (long part : end.parts()) {
                if (quarantined.contains(part)) {
                    untilMillis.merge(part, end.millis() + QUARANTINE_MILLIS, Math::max);
                }
            }
        }
        quarantinedUntilMillis = Map.copyOf(untilMillis);
    }

    private long maxAgeMillis(EngineEnd end) {
        return end.parts().stream().anyMatch(quarantinedUntilMillis::containsKey)
                ? QUARANTINE_MILLIS
                : RETENTION_MILLIS;
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
