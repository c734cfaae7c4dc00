package io.agatelane.core.config;

/**
 * A configuration object with its value and version.
 *
 * @param version the configuration revision that last changed the object
 * @param value an instance of {@link ObjectKind#valueType()}
 */
public record StoredObject(ObjectKey key, long version, Record value) {
    public StoredObject {
        if (!key.kind().valueType().isInstance(value)) {
            throw new IllegalArgumentException(
                    key + " cannot hold a " + value.getClass().getSimpleName());
        }
    }
}
