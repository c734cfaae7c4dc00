package io.agatelane.core.fleet;

/**
 * One destination of a route.
 *
 * @param weight relative share of the route's requests; 0 or more
 */
public record WeightedService(String service, int weight) {}
