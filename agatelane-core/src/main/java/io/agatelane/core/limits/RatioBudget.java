package io.agatelane.core.limits;

/**
 * Limits extra attempts (retries or hedges) to a percentage of the requests. Thread-safe.
 *
 * <p>Each request adds its percentage of one attempt; each extra attempt takes one whole attempt.
 */
public final class RatioBudget {
    // The unused budget is capped so that a long period without extra attempts does not allow a burst of them later.
    private static final double MAX_SAVED_ATTEMPTS = 10;
    private static final double PERCENT = 100;

    private double savedAttempts = 1;

    /** Adds the budget that one request earns. */
    public synchronized void recordRequest(int percent) {
        savedAttempts = Math.min(MAX_SAVED_ATTEMPTS, savedAttempts + percent / PERCENT);
    }

    /** Takes one extra attempt from the budget. Returns false when the budget is used up. */
    public synchronized boolean tryTake() {
        if (savedAttempts < 1) {
            return false;
        }
        savedAttempts -= 1;
        return true;
    }
}
