package io.agatelane.core.fleet;

import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/** The weights versions that the operator has requested for a model, as one router has read them. Immutable. */
public final class RequestedWeights {
    // An engine that is further behind counts as having been replaced by the oldest stored version.
    private static final int MAX_VERSIONS = 8;

    private final NavigableMap<Long, FirstRead> versions;

    private RequestedWeights(NavigableMap<Long, FirstRead> versions) {
        this.versions = versions;
    }

    /**
     * The first read of a requested version.
     *
     * @param firstSeenMillis monotonic time of the read
     * @param requestTimeKnown whether the router had read the store before this version appeared; otherwise the version
     *     may have been requested long before it was first read
     */
    public record FirstRead(long firstSeenMillis, boolean requestTimeKnown) {}

    /** Creates the history of a model of which a single version is known. */
    public static RequestedWeights of(long version, FirstRead firstRead) {
        return new RequestedWeights(new TreeMap<>(Map.of(version, firstRead)));
    }

    /** Returns a copy with a newer version added; a version that is already known keeps the time of its first read. */
    public RequestedWeights with(long version, FirstRead firstRead) {
        if (version <= newest()) {
            return this;
        }
        NavigableMap<Long, FirstRead> extended = new TreeMap<>(versions);
        extended.put(version, firstRead);
        if (extended.size() > MAX_VERSIONS) {
            extended.pollFirstEntry();
        }
        return new RequestedWeights(extended);
    }

    /** Returns the newest requested version. */
    public long newest() {
        return versions.lastKey();
    }

    /** Returns when the version that replaced the given one was first read; empty when it has not been replaced. */
    public Optional<FirstRead> replacementOf(long version) {
        return Optional.ofNullable(versions.higherEntry(version)).map(Map.Entry::getValue);
    }
}
