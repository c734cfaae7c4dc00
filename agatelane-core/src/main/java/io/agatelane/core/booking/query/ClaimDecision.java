package io.agatelane.core.booking.query;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.Booking;

/** What to do with a claim, given the recorded state of its booking. */
public enum ClaimDecision {
    /** No attempt is recorded, so the claim has to be written. */
    WRITE,
    /** The claim is already recorded for the same attempt, whose earlier reply was lost. */
    GRANT_AGAIN,
    /** Another attempt holds the claim; wait for its outcome. */
    WAIT,
    /** The call has finished; reply with its response. */
    RETURN_RESPONSE,
    /** The outcome is not known; query the claimant or the service for it. */
    INQUIRE,
    /** The key was used with a different request. */
    MISMATCH;

    /**
     * Decides what to do with a claim.
     *
     * @param booking recorded state; null when there is none
     */
    public static ClaimDecision of(Booking booking, AttemptId attempt, String requestDigest) {
        if (booking == null) {
            return WRITE;
        }
        if (!booking.requestDigest().isEmpty() && !booking.requestDigest().equals(requestDigest)) {
            return MISMATCH;
        }
        return switch (booking.state()) {
            case FINISHED -> RETURN_RESPONSE;
            case OUTCOME_UNKNOWN -> INQUIRE;
            case CLAIMED -> booking.attempt().equals(attempt) ? GRANT_AGAIN : WAIT;
        };
    }
}
