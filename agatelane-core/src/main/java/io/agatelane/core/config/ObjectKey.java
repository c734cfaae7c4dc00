package io.agatelane.core.config;

import java.util.Comparator;
import java.util.Objects;

/** Identifies a configuration object by its kind and name; ordered by kind, then by name. */
public record ObjectKey(ObjectKind kind, String name) implements Comparable<ObjectKey> {
    private static final Comparator<ObjectKey> ORDER =
            Comparator.comparing(ObjectKey::kind).thenComparing(ObjectKey::name);

    public ObjectKey {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(name);
    }

    @Override
    public int compareTo(ObjectKey other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind.fieldName() + "/" + name;
    }
}
