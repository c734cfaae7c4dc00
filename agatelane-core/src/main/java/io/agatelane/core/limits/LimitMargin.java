package io.agatelane.core.limits;

/**
 * How far the use of an account in a time window may exceed its limit, for all routers together.
 *
 * @param windowMillis length of the window, greater than 0
 * @param tolerance share of what the limit allows in a window
 * @param slack units in addition
 */
public record LimitMargin(long windowMillis, double tolerance, double slack) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Length of the window in seconds. */
    public double windowSeconds() {
        return Math.max(1, windowMillis) / MILLIS_PER_SECOND;
    }

    /** Returns the units by which the use of an account in a window may exceed the rate and the burst. */
    public double units(AccountLimit limit) {
        return Math.max(0, tolerance) * (limit.ratePerSecond() * windowSeconds() + limit.burst()) + Math.max(0, slack);
    }
}
