package io.agatelane.core.fleet;

/**
 * Number of times that a router has seen an upstream crash while it ran a request, or up to which number a successful
 * response has cleared the request. Receivers keep the largest number of each reporter and kind, so reports may arrive
 * several times and in any order.
 *
 * @param fingerprint fingerprint of the request
 * @param reporter random number of one start of the router that saw the crashes
 * @param count number of crashes; of a clearance, the negative number
 */
public record CrashReport(long fingerprint, long reporter, int count) {
    /** Creates a report that a reporter's crashes up to a number are cleared. */
    public static CrashReport clearance(long fingerprint, long reporter, int clearedCount) {
        return new CrashReport(fingerprint, reporter, -clearedCount);
    }

    /** Whether this report clears the request. */
    public boolean isClearance() {
        return count < 0;
    }

    /** The number up to which crashes are cleared. */
    public int clearedCount() {
        return Math.max(0, -count);
    }
}
