package io.agatelane.core.config;

/**
 * An accepted change of the configuration, as the head lists it.
 *
 * @param id chosen by the operator; a change whose identity was already accepted is not applied again
 * @param revision the configuration revision that the change made
 */
public record Change(String id, long revision, ObjectKey key) {}
