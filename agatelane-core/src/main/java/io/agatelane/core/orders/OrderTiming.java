package io.agatelane.core.orders;

/**
 * Time limits of orders.
 *
 * @param leaseMillis time to live of the lease that the sender holds for engines that do not check fencing numbers
 * @param longestOrderMillis longest time from the sending of an order until it has taken effect
 * @param checkMillis time after which an engine's state is read again
 * @param retryMillis shortest delay before the next attempt after a failure
 * @param maxRetryMillis longest delay before the next attempt after a failure
 * @param maxKeyAgeMillis longest time since the order key was read or written, at the time of sending
 */
public record OrderTiming(
        long leaseMillis,
        long longestOrderMillis,
        long checkMillis,
        long retryMillis,
        long maxRetryMillis,
        long maxKeyAgeMillis) {
    /**
     * Loading weights takes 1 s to 2 s, more when several engines load at once; the longest order of 15 s leaves room
     * for a slow weight store. The lease lasts twice as long, so that it outlasts an order and can still be renewed in
     * time.
     */
    public static final OrderTiming DEFAULT = new OrderTiming(30_000, 15_000, 10_000, 1_000, 30_000, 1_000);

    /**
     * Returns the time that a new holder of a lease or slot waits, because the previous one may just have sent an
     * order.
     */
    public long takeoverMillis() {
        return leaseMillis + longestOrderMillis;
    }
}
