package io.agatelane.core.fleet.command;

import java.util.OptionalDouble;

/**
 * Capacity of a service of engines, learned from the work that is admitted while the engines are saturated. Thread-safe.
 */
public final class CapacityEstimate {
    // Waiting and refused requests, as a share of those in flight, from which engines count as saturated: some requests
    // wait for memory also when the engines have time for all of them.
    private static final double SATURATED_SHARE = 0.1;
    // Time for which a service counts as saturated after the last report that says so. Reports are up to 1 s old, and
    // the shares themselves end the saturation: with less time the service would change between both states.
    private static final long SATURATED_MILLIS = 3_000;
    private static final double TIME_CONSTANT_MILLIS = 1_000;
    // Part of the admitted work that the estimate tends to while requests are refused for lack of room. Such refusals
    // reach accounts within their share too, so the estimate has to stay below what was admitted.
    private static final double SUSTAINED_SHARE = 0.9;
    // Growth per second while the shares leave the engines unsaturated: the estimate is then too low.
    private static final double GROWTH_PER_SECOND = 0.2;
    // Part of the last estimate that the next saturation begins with; engines may have stopped since.
    private static final double REMEMBERED_SHARE = 0.8;
    private static final long MAX_STEP_MILLIS = 500;
    private static final double MILLIS_PER_SECOND = 1_000;

    private double capacity;
    private long updatedMillis = Long.MIN_VALUE;
    private long saturatedUntilMillis = Long.MIN_VALUE;

    /**
     * Records what all routers together report.
     *
     * @param waiting requests that wait or were refused for lack of room within the last second
     * @param inFlight requests in flight
     * @param admittedMillisPerSecond work admitted per second
     */
    public synchronized void record(long waiting, long inFlight, double admittedMillisPerSecond, long nowMillis) {
        long step = updatedMillis == Long.MIN_VALUE ? 0 : Math.min(MAX_STEP_MILLIS, nowMillis - updatedMillis);
        updatedMillis = nowMillis;
        boolean saturated = waiting > 0 && waiting >= SATURATED_SHARE * inFlight;
        if (saturated) {
            boolean begins = nowMillis >= saturatedUntilMillis;
            // The admitted work is a mean over the last second, which may have begun before the saturation.
            capacity = begins
                    ? Math.max(admittedMillisPerSecond, capacity * REMEMBERED_SHARE)
                    : capacity + (admittedMillisPerSecond * SUSTAINED_SHARE - capacity) * step / TIME_CONSTANT_MILLIS;
            saturatedUntilMillis = nowMillis + SATURATED_MILLIS;
        } else {
            capacity *= 1 + GROWTH_PER_SECOND * step / MILLIS_PER_SECOND;
        }
    }

    /** Work per second in milliseconds; empty while the service is not saturated. */
    public synchronized OptionalDouble capacity(long nowMillis) {
        return nowMillis < saturatedUntilMillis ? OptionalDouble.of(capacity) : OptionalDouble.empty();
    }
}
