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
     * @param afterOutage whether the reader tried all the time between both to read the store. The allowed time then
     *     starts when the store can be read again, unless another router knows better: if none could read it, replaced
     *     weights are all that the engines have
     */
    public record RequestTime(ClockReading readAt, Optional<ClockReading> absentAt, boolean afterOutage) {
        /** Whether the time has a lower bound. */
        public boolean isKnown() {
            return absentAt.isPresent();
        }

        /** Returns the time from which the allowed time counts. */
        public ClockReading earliest() {
            return afterOutage ? readAt : absentAt.orElse(readAt);
        }

        // A time after the first read comes from a wall clock that is ahead.
        private RequestTime narrowedTo(ClockReading reported, ClockReading now) {
            long reportedAgeMillis = ageMillis(reported, now);
            if (reportedAgeMillis < ageMillis(readAt, now)) {
                return this;
            }
            Optional<ClockReading> later = absentAt.filter(absent -> ageMillis(absent, now) <= reportedAgeMillis);
            return new RequestTime(readAt, later.or(() -> Optional.of(reported)), false);
        }
    }

    private static long ageMillis(ClockReading reading, ClockReading now) {
        return reading.ageMillis(now.monotonicMillis(), now.epochMillis());
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
     * @param earliest version to the time from which its allowed time counts
     * @param now current time
     */
    public RequestedWeights withReported(Map<Long, ClockReading> earliest, ClockReading now) {
        NavigableMap<Long, RequestTime> extended = new TreeMap<>(versions);
        earliest.forEach((version, reported) -> {
            ClockReading bound = reported.earlierBy(MAX_CLOCK_DIFFERENCE_MILLIS);
            if (versions.containsKey(version)) {
                extended.computeIfPresent(version, (key, own) -> own.narrowedTo(bound, now));
            } else if (version < newest() && isBeforeNext(version, bound, now)) {
                extended.put(version, new RequestTime(bound, Optional.of(bound), false));
            }
        });
        return extended.equals(versions) ? this : new RequestedWeights(extended);
    }

    // A version was requested before the newer ones, so a later time comes from a wall clock that is ahead.
    private boolean isBeforeNext(long version, ClockReading bound, ClockReading now) {
        ClockReading nextReadAt = versions.higherEntry(version).getValue().readAt();
        return ageMillis(bound, now) >= ageMillis(nextReadAt, now);
    }

    /** Returns the newest requested version. */
    public long newest() {
        return versions.lastKey();
    }

    /** Returns when the version that replaced the given one was requested; empty when it has not been replaced. */
    public Optional<RequestTime> replacementOf(long version) {
        return Optional.ofNullable(versions.higherEntry(version)).map(Map.Entry::getValue);
    }

    /** Returns for each version whose time has a lower bound the time from which its allowed time counts. */
    public Map<Long, ClockReading> knownTimes() {
        return versions.entrySet().stream()
                .filter(entry -> entry.getValue().isKnown())
                .collect(Collectors.toUnmodifiableMap(
                        Map.Entry::getKey, entry -> entry.getValue().earliest()));
    }
}
