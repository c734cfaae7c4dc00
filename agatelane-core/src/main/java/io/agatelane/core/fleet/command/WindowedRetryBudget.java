package io.agatelane.core.fleet.command;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits retries to one service in a sliding window. Thread-safe.
 *
 * <p>One limit holds for all routers together. Each router may spend a fixed ratio of its own requests plus its share
 * of the slack, so that the sum stays within the limit without communication.
 */
public final class WindowedRetryBudget {
    // A restarted router has an empty window and may spend its share again, so the shares add up to half of the slack
    // at most.
    private static final int SLACK_RESERVE_FACTOR = 2;
    // A router that has just started knows few others; it is limited to the share of a deployment with ten routers.
    private static final int MIN_ASSUMED_ROUTERS = 10;

    private final double ratio;
    private final double slack;
    private final long windowMillis;
    private final Deque<Long> requestsMillis = new ArrayDeque<>();
    private final Deque<Long> retriesMillis = new ArrayDeque<>();

    /**
     * Creates an empty window.
     *
     * @param ratio retries allowed per request in the window
     * @param slack additional retries that all routers together may send in the window
     */
    public WindowedRetryBudget(double ratio, double slack, long windowMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMillis = windowMillis;
    }

    /** Records the first attempt of a request. */
    public synchronized void recordRequest(long nowMillis) {
        requestsMillis.addLast(nowMillis);
        dropExpired(nowMillis);
    }

    /**
     * Takes one retry from the budget; returns false when the budget is exhausted.
     *
     * @param routers routers that share the slack, as far as known
     */
    public synchronized boolean tryTake(long nowMillis, int routers) {
        dropExpired(nowMillis);
        int ownSlack = (int) (slack / (SLACK_RESERVE_FACTOR * Math.max(MIN_ASSUMED_ROUTERS, routers)));
        if (retriesMillis.size() + 1 > ratio * requestsMillis.size() + ownSlack) {
            return false;
        }
        retriesMillis.addLast(nowMillis);
        return true;
    }

    private void dropExpired(long nowMillis) {
        dropUntil(requestsMillis, nowMillis - windowMillis);
        dropUntil(retriesMillis, nowMillis - windowMillis);
    }

    private static void dropUntil(Deque<Long> times, long endMillis) {
        while (!times.isEmpty() && times.peekFirst() <= endMillis) {
            times.removeFirst();
        }
    }
}
