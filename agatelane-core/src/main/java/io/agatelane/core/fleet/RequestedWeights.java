package io.agatelane.core.fleet;

import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The weights versions that the operator has requested for a model, as far as one router knows them. Immutable. */
public final class RequestedWeights {
    // An engine that is further behind counts as having been replaced by the oldest stored version.
    private static final int MAX_VERSIONS = 8;

    private final NavigableMap<Long, RequestTime> versions;

    private RequestedWeights(NavigableMap<Long, RequestTime> versions) {
        while (versions.size() > MAX_VERSIONS) {
            versions.pollFirstEntry();
        }
        this.versions = versions;
    }

    /**
     * When a version was requested.
     *
     * @param readAt first read of the version
     * @param isKnown whether the reader had read the store before this version appeared, so that the version was
     *     requested shortly before the read; otherwise it may have been requested long before
     */
    public record RequestTime(ClockReading readAt, boolean isKnown) {}

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
     * Returns a copy with the request times that another router knows, for the versions whose time is not known here.
     * Versions that are newer than the newest one are ignored until they are read from the store.
     */
    public RequestedWeights withReported(Map<Long, ClockReading> reported) {
        NavigableMap<Long, RequestTime> extended = new TreeMap<>(versions);
        reported.forEach((version, readAt) -> {
            RequestTime own = versions.get(version);
            if (version <= newest() && (own == null || !own.isKnown())) {
                extended.put(version, new RequestTime(readAt, true));
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

    /** Returns the versions whose request time is known, with the time of the first read. */
    public Map<Long, ClockReading> knownTimes() {
        return versions.entrySet().stream()
                .filter(entry -> entry.getValue().isKnown())
                .collect(Collectors.toUnmodifiableMap(
                        Map.Entry::getKey, entry -> entry.getValue().readAt()));
    }
}
