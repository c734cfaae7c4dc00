package io.agatelane.lab.platform;

/**
 * A key with its value at one revision.
 *
 * @param value {@code null} in the history entry of a deletion
 * @param leaseId 0 when the key has no lease
 */
@SuppressWarnings("ArrayRecordComponent") // Values are compared by revision, never by content.
record StoredValue(String key, byte[] value, long createRevision, long modRevision, long version, long leaseId) {
    boolean isDeletion() {
        return value == null;
    }
}
