package io.agatelane.core.booking;

/** State of an attempt as its claimant, the router that holds the claim, reports it. */
public enum ClaimantState {
    RUNNING,
    FINISHED,
    /** The call was not sent to the service and never will be. */
    NEVER_SENT,
    /** The call was sent to the service, and no response was received. */
    SENT_WITHOUT_ANSWER,
    /** The claimant's process does not know the attempt, or the claimant is dead. */
    GONE,
    /** The claimant did not respond and is not known to be dead. */
    UNREACHABLE
}
