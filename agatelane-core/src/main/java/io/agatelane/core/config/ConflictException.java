package io.agatelane.core.config;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;

/** Thrown when a change expects a version of its object that is not the current one. */
public final class ConflictException extends AgatelaneException {
    private static final long serialVersionUID = 1L;

    private final transient ObjectKey key;
    private final long expectedVersion;
    private final long actualVersion;

    public ConflictException(ObjectKey key, long expectedVersion, long actualVersion) {
        super(
                FailureType.CONFLICT,
                key + " has version " + actualVersion + ", the change expects version " + expectedVersion);
        this.key = key;
        this.expectedVersion = expectedVersion;
        this.actualVersion = actualVersion;
    }

    public ObjectKey key() {
        return key;
    }

    /** Returns the expected version; 0 when the change expects that the object does not exist. */
    public long expectedVersion() {
        return expectedVersion;
    }

    /** Returns the current version; 0 when the object does not exist. */
    public long actualVersion() {
        return actualVersion;
    }
}
