package io.agatelane.core.booking;

/**
 * Time and size limits of a partition.
 *
 * @param groupCommitMillis longest time for which the first claim of a commit waits for others
 * @param outcomeCommitMillis longest time for which an outcome waits for a commit; no caller waits for the commit, and
 *     the claimant and the owner both hold the outcome in memory until then
 * @param sealBytes size of the finished entries in the open segment from which they are moved to a sealed segment
 * @param maxSegmentBytes size of the open segment from which no claim is added; a value of the platform's store holds
 *     at most 1 MB
 * @param inlineResponseBytes longest response body that is stored in the segment
 * @param responseCacheBytes memory of a partition for cached longer responses
 * @param retentionMillis time after which a retry counts as a new call
 * @param inquiryPauseMillis shortest time between two inquiries about the same booking
 * @param outagePauseMillis time from a failed platform call to the next one; claims are refused until one succeeds
 */
public record BookingLimits(
        long groupCommitMillis,
        long outcomeCommitMillis,
        int sealBytes,
        int maxSegmentBytes,
        int inlineResponseBytes,
        int responseCacheBytes,
        long retentionMillis,
        long inquiryPauseMillis,
        long outagePauseMillis) {
    /** The limits that routers use. */
    public static final BookingLimits DEFAULT =
            new BookingLimits(5, 100, 64 << 10, 512 << 10, 16 << 10, 1 << 20, 24L * 3_600_000, 1_000, 500);
}
