package io.agatelane.core.fleet;

/**
 * A service that receives a share of the requests of a route.
 *
 * @param weight relative share of the route's requests; 0 or more
 */
public record WeightedService(String service, int weight) {}
