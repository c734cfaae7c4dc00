package io.agatelane.core.fleet;

/**
 * Tells the other routers that an upstream crashed while it ran a request, or that the crash is cleared by a successful
 * response. Reports may arrive several times and in any order.
 *
 * @param fingerprint fingerprint of the request
 * @param crash identifies the crash; equal at all routers that have seen it
 * @param ageMillis time since the crash; 0 for a clearance
 * @param wasAnswered whether the request had been answered shortly before the crash
 * @param isClearance whether the crash is cleared
 */
public record CrashReport(long fingerprint, long crash, long ageMillis, boolean wasAnswered, boolean isClearance) {
    /** Identifies what is reported, whatever its age. */
    public record Key(long fingerprint, long crash, boolean wasAnswered, boolean isClearance) {}

    /** Creates a report of a crash. */
    public static CrashReport crash(long fingerprint, long crash, long ageMillis, boolean wasAnswered) {
        return new CrashReport(fingerprint, crash, ageMillis, wasAnswered, false);
    }

    /** Creates a report that a crash is cleared. */
    public static CrashReport clearance(long fingerprint, long crash) {
        return new CrashReport(fingerprint, crash, 0, false, true);
    }

    /** The key of this report. */
    public Key key() {
        return new Key(fingerprint, crash, wasAnswered, isClearance);
    }
}
