package io.agatelane.node.api;

/** What an engine answers to an order. */
public enum OrderAnswer {
    /** It is being carried out. */
    STARTED,
    /** The weights are loaded already. */
    HOLDS,
    /** Another order is in progress, or another number of orders was accepted. */
    CONFLICT,
    /** A later holder has given an order. */
    FENCED,
    /** The engine does not know the version, or another upstream has the address. */
    REJECTED
}
