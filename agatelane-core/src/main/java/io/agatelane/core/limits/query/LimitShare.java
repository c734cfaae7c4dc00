package io.agatelane.core.limits.query;

import io.agatelane.core.limits.AccountLimit;
import io.agatelane.core.limits.LimitMargin;

/**
 * Part of an account's limit that belongs to the routers which are in contact with each other.
 *
 * <p>Routers that are missing may be cut off and go on to serve, so the part shrinks with the number of routers in
 * contact. The parts of all groups add up to the limit and a small part of its margin; the rest is left for what is
 * admitted before a report of it arrives.
 *
 * @param fraction routers in contact divided by registered routers
 * @param isAlone whether this router is in contact with none of the others that are registered
 * @param ratePerSecond units by which the bucket fills
 * @param capacity highest level of the bucket in units
 * @param debt units by which one request may bring the bucket below 0
 */
public record LimitShare(double fraction, boolean isAlone, double ratePerSecond, double capacity, double debt) {
    // The rest of the margin covers what routers admit before they receive each other's reports.
    private static final double USED_MARGIN_PART = 0.15;
    // A slack that is large against the limit must not turn into a burst that the operator has not configured.
    private static final double MAX_EXTRA_CAPACITY_SECONDS = 1;
    // Part of the capacity that is used as additional rate while routers are missing, because most of those have
    // stopped rather than been cut off.
    private static final double LENT_CAPACITY_PART = 0.5;

    // Far above any real limit; larger numbers would become infinite in sums.
    private static final double MAX_UNITS = 1e15;

    /**
     * Computes the part of a group of routers.
     *
     * @param inContact number of routers that report to each other, this one included
     * @param registered number of registered routers, this one included
     */
    public static LimitShare of(AccountLimit limit, LimitMargin margin, long inContact, long registered) {
        double fraction = Math.min(1, Math.max(1, inContact) / (double) Math.max(1, registered));
        boolean isAlone = inContact <= 1 && registered > 1;
        double usedMargin = margin.units(limit) * USED_MARGIN_PART;
        double rate = Math.min(MAX_UNITS, limit.ratePerSecond());
        double extra = Math.min(usedMargin, rate * MAX_EXTRA_CAPACITY_SECONDS);
        double capacity = fraction * (Math.min(MAX_UNITS, limit.burst()) + extra);
        double lentRate =
                isAlone ? 0 : Math.min((1 - fraction) * rate, capacity * LENT_CAPACITY_PART / margin.windowSeconds());
        return new LimitShare(
                fraction,
                isAlone,
                fraction * rate + lentRate,
                capacity - lentRate * margin.windowSeconds(),
                fraction * usedMargin);
    }
}
