package io.agatelane.node.api;

/**
 * A key of the platform's key-value service with its value.
 *
 * @param revision the revision of the last write of this key; grows with each write
 */
public record KeyValue(String key, byte[] value, long revision) {}
