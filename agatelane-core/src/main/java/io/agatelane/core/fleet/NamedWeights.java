package io.agatelane.core.fleet;

import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/** The versions of a model's weights that the operator named, as one router has read them. Immutable. */
public final class NamedWeights {
    // Engines that are more versions behind count as behind the oldest one that is remembered.
    private static final int MAX_REMEMBERED = 8;

    private final NavigableMap<Long, Naming> versions;

    private NamedWeights(NavigableMap<Long, Naming> versions) {
        this.versions = versions;
    }

    /**
     * When a version was first read.
     *
     * @param seenMillis monotonic time
     * @param sawNaming whether the router had read the store before; otherwise it may have been named long ago
     */
    public record Naming(long seenMillis, boolean sawNaming) {}

    /** One version and no older ones. */
    public static NamedWeights of(long version, Naming naming) {
        return new NamedWeights(new TreeMap<>(Map.of(version, naming)));
    }

    /** Adds a version; one that is known keeps its time. */
    public NamedWeights with(long version, Naming naming) {
        if (version <= newest()) {
            return this;
        }
        NavigableMap<Long, Naming> more = new TreeMap<>(versions);
        more.put(version, naming);
        if (more.size() > MAX_REMEMBERED) {
            more.pollFirstEntry();
        }
        return new NamedWeights(more);
    }

    /** The newest version. */
    public long newest() {
        return versions.lastKey();
    }

    /** When the first version after the given one was named; empty when there is none. */
    public Optional<Naming> replaced(long version) {
        return Optional.ofNullable(versions.higherEntry(version)).map(Map.Entry::getValue);
    }
}
