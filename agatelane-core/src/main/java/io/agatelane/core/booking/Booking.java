package io.agatelane.core.booking;

import java.util.Optional;

/**
 * Recorded state of one booking.
 *
 * @param requestDigest hexadecimal digest of method, path and body
 * @param response present for a finished booking whose response is short enough to be stored in the segment
 * @param claimedEpochMillis wall-clock time of the claim, at which the retention time begins
 */
public record Booking(
        BookingKey key,
        AttemptId attempt,
        String requestDigest,
        BookingState state,
        Optional<ServiceResponse> response,
        long claimedEpochMillis) {
    /** Returns a booking that an attempt has just claimed. */
    public static Booking claimed(BookingKey key, AttemptId attempt, String requestDigest, long epochMillis) {
        return new Booking(key, attempt, requestDigest, BookingState.CLAIMED, Optional.empty(), epochMillis);
    }

    /** Returns the finished booking; pass an empty response when it is stored under its own key. */
    public Booking withFinished(Optional<ServiceResponse> newResponse) {
        return new Booking(key, attempt, requestDigest, BookingState.FINISHED, newResponse, claimedEpochMillis);
    }

    public Booking withOutcomeUnknown() {
        return new Booking(
                key, attempt, requestDigest, BookingState.OUTCOME_UNKNOWN, Optional.empty(), claimedEpochMillis);
    }

    /** Returns whether the retention time has ended, after which a retry counts as a new call. */
    public boolean isExpired(long nowEpochMillis, long retentionMillis) {
        return nowEpochMillis - claimedEpochMillis >= retentionMillis;
    }
}
