package io.agatelane.node.api;

/**
 * An order to load weights.
 *
 * @param holder name of the router that gives it
 * @param fencingToken larger for each later holder
 * @param expectedOrders number of accepted orders that the engine must have; it refuses the order otherwise
 */
public record WeightsOrder(String model, long version, String holder, long fencingToken, long expectedOrders) {}
