package io.agatelane.core.config.query;

/**
 * A live router and the configuration revision in force on it, as last received.
 *
 * @param incarnation number of the router's process start; larger for each later start
 */
public record RouterRevision(String name, long incarnation, long revision) {}
