package io.agatelane.core.orders;

/** Next action on the way to an engine's desired state. */
public enum OrderStep {
    /** Do nothing until the machine is asked again. */
    WAIT,
    /** Read the engine's state. */
    READ_ENGINE,
    /** Acquire or renew the lease, for an engine that does not check fencing numbers. */
    TAKE_LEASE,
    RELEASE_LEASE,
    /** Take one of the slots that limit weight loads in the fleet. */
    TAKE_SLOT,
    RELEASE_SLOT,
    /** Read the engine's order key. */
    READ_KEY,
    /** Write the order to the engine's order key. */
    WRITE_KEY,
    /** Send the order to the engine. */
    SEND,
    /** Mark the stored order as done. */
    MARK_DONE
}
