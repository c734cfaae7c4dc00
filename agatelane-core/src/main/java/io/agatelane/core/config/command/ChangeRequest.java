package io.agatelane.core.config.command;

import io.agatelane.core.config.ObjectKey;
import java.util.Optional;

/**
 * A change that an operator requests.
 *
 * @param id identity of the change; a change whose identity was already accepted is not applied again
 * @param value the new value; empty to delete the object
 * @param expectedVersion version that the object must have; 0 requires that it does not exist, {@link #ANY_VERSION}
 *     accepts any version
 */
public record ChangeRequest(String id, ObjectKey key, Optional<Record> value, long expectedVersion) {
    /** Expected version of a change that applies whether or not the object exists. */
    public static final long ANY_VERSION = -1;
}
