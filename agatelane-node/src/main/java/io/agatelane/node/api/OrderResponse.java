package io.agatelane.node.api;

/** Response of an engine to an order. */
public enum OrderResponse {
    /** The engine accepted the order and is carrying it out. */
    STARTED,
    /** The engine already holds the ordered weights. */
    HOLDS,
    /** Another order is in progress, or the engine has not accepted the expected number of orders. */
    CONFLICT,
    /** The engine has accepted an order of a later lease holder, which has a larger fencing token. */
    FENCED,
    /** The engine does not know the version, or another upstream now has the address. */
    REJECTED
}
