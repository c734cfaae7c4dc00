package io.agatelane.core.fleet;

/**
 * Number of times that a router has seen an upstream crash while it ran a request. Receivers keep the largest count of
 * each reporter, so reports may arrive twice and in any order.
 *
 * @param fingerprint fingerprint of the request
 * @param reporter hash of the router's name
 */
public record CrashReport(long fingerprint, long reporter, int count) {}
