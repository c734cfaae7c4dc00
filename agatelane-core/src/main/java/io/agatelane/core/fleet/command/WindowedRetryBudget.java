package io.agatelane.core.fleet.command;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds repeated sends to one service in a sliding window. Thread-safe.
 *
 * <p>All routers share one bound. Each spends a share of its own requests and a part of the slack besides, so that the sum
 * stays under the bound without any exchange.
 */
public final class WindowedRetryBudget {
    // Routers that restart have an empty window, so the parts of the slack add up to half of it at most.
    private static final int SPARE_FACTOR = 2;
    // A router that has just started knows few others; the part of a fleet of ten is small enough for it.
    private static final int MIN_ROUTERS = 10;

    private final double ratio;
    private final int slack;
    private final long windowMillis;
    private final Deque<Long> requestsMillis = new ArrayDeque<>();
    private final Deque<Long> retriesMillis = new ArrayDeque<>();

    /**
     * Creates an empty window.
     *
     * @param ratio repeats allowed for each request of the window
     * @param slack repeats that all routers together may send besides
     */
    public WindowedRetryBudget(double ratio, int slack, long windowMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMillis = windowMillis;
    }

    /** Records the first send of a request. */
    public synchronized void recordRequest(long nowMillis) {
        requestsMillis.addLast(nowMillis);
        forget(nowMillis);
    }

    /**
     * Takes one repeated send; false when the budget is used up.
     *
     * @param routers routers that share the slack, as far as known
     */
    public synchronized boolean tryTake(long nowMillis, int routers) {
        forget(nowMillis);
        int part = slack / (SPARE_FACTOR * Math.max(MIN_ROUTERS, routers));
        if (retriesMillis.size() + 1 > ratio * requestsMillis.size() + part) {
            return false;
        }
        retriesMillis.addLast(nowMillis);
        return true;
    }

    private void forget(long nowMillis) {
        drop(requestsMillis, nowMillis - windowMillis);
        drop(retriesMillis, nowMillis - windowMillis);
    }

    private static void drop(Deque<Long> times, long untilMillis) {
        while (!times.isEmpty() && times.peekFirst() <= untilMillis) {
            times.removeFirst();
        }
    }
}
