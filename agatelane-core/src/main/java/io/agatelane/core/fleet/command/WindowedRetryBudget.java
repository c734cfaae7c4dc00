package io.agatelane.core.fleet.command;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds repeated sends to one service in a sliding window. Thread-safe.
 *
 * <p>All routers share one bound. Each spends a share of its own requests and a fixed number besides, so that the sum
 * stays under the bound without any exchange.
 */
public final class WindowedRetryBudget {
    private final double ratio;
    private final int slack;
    private final long windowMillis;
    private final Deque<Long> requestsMillis = new ArrayDeque<>();
    private final Deque<Long> retriesMillis = new ArrayDeque<>();

    /**
     * Creates an empty window.
     *
     * @param ratio repeats allowed for each request of the window
     * @param slack repeats allowed besides
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

    /** Takes one repeated send; false when the budget is used up. */
    public synchronized boolean tryTake(long nowMillis) {
        forget(nowMillis);
        if (retriesMillis.size() + 1 > ratio * requestsMillis.size() + slack) {
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
