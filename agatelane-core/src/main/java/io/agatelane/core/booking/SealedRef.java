package io.agatelane.core.booking;

/**
 * Reference from the open segment to a sealed one.
 *
 * @param name {@code <number>-<revision>} of the open segment at the time it was sealed, where revision is that of its
 *     key
 */
public record SealedRef(String name, long sealedEpochMillis, int entryCount) {}
