package io.agatelane.node.api;

/**
 * A key of the platform's key-value service with its value.
 *
 * @param revision the revision of the last write of this key, qualified with the era of the read (see {@link StoreEra});
 *     grows with each write and with each era
 */
public record KeyValue(String key, byte[] value, long revision) {}
