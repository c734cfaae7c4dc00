package io.agatelane.core.fleet;

/**
 * How often a router has seen an upstream break off while it ran a request. A later report of the same router replaces
 * an earlier one, so that reports may arrive twice and in any order.
 *
 * @param fingerprint of the request
 * @param reporter hash of the router's name
 */
public record CrashReport(long fingerprint, long reporter, int count) {}
