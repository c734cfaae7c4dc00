package io.agatelane.core.fleet;

/**
 * Momentary slowness that an upstream has reported about itself.
 *
 * @param percent duration of work; 100 is normal, 200 takes twice as long
 * @param ageMillis time since the report
 */
public record ReportedSlowness(int percent, long ageMillis) {
    /** No report. */
    public static final ReportedSlowness NONE = new ReportedSlowness(100, Integer.MAX_VALUE);

    // Slowness by neighbours on a machine lasts for some hundred milliseconds.
    private static final double HALF_LIFE_MILLIS = 500;
    private static final double PERCENT = 100;

    /** Whether the upstream has reported its slowness. */
    public boolean isKnown() {
        return ageMillis < NONE.ageMillis;
    }

    /** Returns the newer of two reports. */
    public ReportedSlowness newer(ReportedSlowness other) {
        return other.ageMillis < ageMillis ? other : this;
    }

    /** Returns the same report at a later time. */
    public ReportedSlowness older(long addedMillis) {
        return isKnown() && addedMillis > 0 ? new ReportedSlowness(percent, ageMillis + addedMillis) : this;
    }

    /**
     * Returns the expected slowness relative to the usual one of the upstream, as a factor. Without a newer report it
     * returns to 1.
     *
     * @param usual slowness that the upstream usually reports, as a factor
     */
    public double relativeTo(double usual) {
        double excess = percent / PERCENT / usual - 1;
        return isKnown() ? 1 + excess * Math.pow(0.5, ageMillis / HALF_LIFE_MILLIS) : 1;
    }
}
