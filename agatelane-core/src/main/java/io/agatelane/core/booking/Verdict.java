package io.agatelane.core.booking;

/** Result of a claim, as sent to the router that requested it. */
public enum Verdict {
    /** The claim is durable and belongs to the attempt that requested it. */
    GRANTED,
    /** Another attempt was still running when the wait ended. */
    IN_PROGRESS,
    /** The call ran; its response is attached. */
    FINISHED,
    /** It is not known whether the call ran. */
    UNKNOWN,
    /** The key was used with another request. */
    MISMATCH,
    /** The claim was refused for example because the platform is unavailable or the segment is full. */
    UNAVAILABLE
}
