package io.agatelane.node.io.service;

/** Limits retries of repeatable calls to a share of all calls, so that retries cannot amplify an overload. */
final class RetryBudget {
    private static final double TOKENS_PER_CALL = 0.1;
    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;

    /** Adds the share of one call to the budget. */
    synchronized void recordCall() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_CALL);
    }

    /** Takes one retry from the budget; returns false when the budget is used up. */
    synchronized boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
