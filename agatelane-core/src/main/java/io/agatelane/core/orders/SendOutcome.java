package io.agatelane.core.orders;

/** Result of sending an order to an engine. */
public enum SendOutcome {
    /** The engine confirmed that the order is in force. */
    IN_FORCE,
    /** The engine rejected the order because it has received a larger fencing number. */
    STALE,
    /** The engine refused the order or could not be reached; the order has no effect. */
    REFUSED,
    /** It is not known whether the order is running or will still take effect. */
    UNKNOWN
}
