package io.agatelane.core.fleet;

import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The weights versions that the operator has requested for a model, as far as one router knows them. Immutable. */
public final class RequestedWeights {
    // An engine that is further behind counts as having been replaced by the oldest stored version, so there must be
    // more versions than an operator can request within the time for which replaced weights may be used.
    private static final int MAX_VERSIONS = 64;
    // The wall clocks of two VMs may differ by this much, so a time that another VM recorded counts as earlier.
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 2_000;

    private final NavigableMap<Long, RequestTime> versions;

    private RequestedWeights(NavigableMap<Long, RequestTime> versions) {
        while (versions.size() > MAX_VERSIONS) {
            versions.pollFirstEntry();
        }
        this.versions = versions;
    }

    /**
     * When a version was requested, as an interval.
     *
     * @param readAt first read of the version
     * @param absentAt latest time at which the version is known not to have been requested yet; empty when the reader
     *     had not read the store before, so that the version may have been requested long ago
     */
    public record RequestTime(ClockReading readAt, Optional<ClockReading> absentAt) {
        /** Whether the time has a lower bound. */
        public boolean isKnown() {
            return absentAt.isPresent();
        }

        /** Returns the earliest time at which the version can have been requested, or the first read when unknown. */
        public ClockReading earliest() {
            return absentAt.orElse(readAt);
        }

        // A time outside the interval known here comes from a wall clock that differs from the one of this VM.
        private RequestTime narrowedTo(ClockReading reported, ClockReading now) {
            long reportedAgeMillis = ageMillis(reported, now);
            boolean isBeforeRead = reportedAgeMillis >= ageMillis(readAt, now);
            boolean isAfterAbsence = absentAt.isEmpty() || reportedAgeMillis < ageMillis(absentAt.get(), now);
            return isBeforeRead && isAfterAbsence ? new RequestTime(readAt, Optional.of(reported)) : this;
        }

        private static long ageMillis(ClockReading reading, ClockReading now) {
            return reading.ageMillis(now.monotonicMillis(), now.epochMillis());
        }
    }

    /** Creates the history of a model of which a single version is known. */
    public static RequestedWeights of(long version, RequestTime time) {
        return new RequestedWeights(new TreeMap<>(Map.of(version, time)));
    }

    /** Returns a copy with a newer version added; a version that is already known keeps the time of its first read. */
    public RequestedWeights with(long version, RequestTime time) {
        if (version <= newest()) {
            return this;
        }
        NavigableMap<Long, RequestTime> extended = new TreeMap<>(versions);
        extended.put(version, time);
        return new RequestedWeights(extended);
    }

    /**
     * Returns a copy with the times that another router knows, where they narrow the interval known here. Versions that
     * are newer than the newest one are ignored until they are read from the store.
     *
     * @param absentAt version to the latest time at which it is known not to have been requested yet
     * @param now current time
     */
    public RequestedWeights withReported(Map<Long, ClockReading> absentAt, ClockReading now) {
        NavigableMap<Long, RequestTime> extended = new TreeMap<>(versions);
        absentAt.forEach((version, reported) -> {
            ClockReading earliest = reported.earlierBy(MAX_CLOCK_DIFFERENCE_MILLIS);
            if (version <= newest()) {
                extended.compute(
                        version,
                        (key, own) -> own == null
                                ? new RequestTime(earliest, Optional.of(earliest))
                                : own.narrowedTo(earliest, now));
            }
        });
        return extended.equals(versions) ? this : new RequestedWeights(extended);
    }

    /** Returns the newest requested version. */
    public long newest() {
        return versions.lastKey();
    }

    /** Returns when the version that replaced the given one was requested; empty when it has not been replaced. */
    public Optional<RequestTime> replacementOf(long version) {
        return Optional.ofNullable(versions.higherEntry(version)).map(Map.Entry::getValue);
    }

    /** Returns for each version the latest time at which it is known not to have been requested yet, if there is one. */
    public Map<Long, ClockReading> absenceTimes() {
        return versions.entrySet().stream()
                .filter(entry -> entry.getValue().isKnown())
                .collect(Collectors.toUnmodifiableMap(
                        Map.Entry::getKey, entry -> entry.getValue().earliest()));
    }
}
