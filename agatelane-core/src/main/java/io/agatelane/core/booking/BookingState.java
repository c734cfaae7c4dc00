package io.agatelane.core.booking;

/** Recorded progress of a booking. */
public enum BookingState {
    /** An attempt holds the claim; the call may be running. */
    CLAIMED,
    /** The call ran and its response is stored. */
    FINISHED,
    /** The call may have run; its response is not known. */
    OUTCOME_UNKNOWN
}
