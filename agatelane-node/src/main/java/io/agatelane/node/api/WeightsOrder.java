package io.agatelane.node.api;

/**
 * An order to load weights.
 *
 * @param holder name of the router that gives the order and holds the lease for it
 * @param fencingToken larger for each later holder
 * @param expectedOrders number of orders that the engine must have accepted so far; it refuses the order otherwise
 */
public record WeightsOrder(String model, long version, String holder, long fencingToken, long expectedOrders) {}
