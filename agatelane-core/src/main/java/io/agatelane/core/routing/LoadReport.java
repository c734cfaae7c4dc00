package io.agatelane.core.routing;

/**
 * Load report of an engine, with its incarnation, model and speed.
 *
 * @param draining whether the engine's role is "draining", so that it takes no new requests
 * @param slots number of requests that the engine runs at the same time
 * @param tokenMillis time between two generated tokens of a request
 * @param measuredAtMillis time of the measurement by this router's monotonic clock: time of receipt minus the reported
 *     age
 */
public record LoadReport(
        String incarnation,
        String model,
        String weightsVersion,
        boolean draining,
        int slots,
        int running,
        int waiting,
        double prefillTokensPerSecond,
        double tokenMillis,
        long measuredAtMillis) {
    private static final double MIN_PREFILL_TOKENS_PER_SECOND = 1;

    public LoadReport {
        slots = Math.max(1, slots);
        running = Math.max(0, running);
        waiting = Math.max(0, waiting);
        prefillTokensPerSecond = Math.max(MIN_PREFILL_TOKENS_PER_SECOND, prefillTokensPerSecond);
        tokenMillis = Math.max(0, tokenMillis);
    }

    /** Returns a copy with newer counts, for example from another router's digest. */
    public LoadReport withCounts(int newRunning, int newWaiting, long newMeasuredAtMillis) {
        return new LoadReport(
                incarnation,
                model,
                weightsVersion,
                draining,
                slots,
                newRunning,
                newWaiting,
                prefillTokensPerSecond,
                tokenMillis,
                newMeasuredAtMillis);
    }
}
