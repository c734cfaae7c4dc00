package io.agatelane.lab.engine;

/**
 * Fixed properties of an engine stand-in.
 *
 * @param slots requests that run at once
 * @param prefillTokensPerSecond rate at which uncached prompt tokens are computed, one request at a time
 * @param tokenMillis time between two output tokens of one request
 * @param cacheBlocks capacity of the prefix cache in blocks
 * @param maxWaiting requests that may wait for a slot before new ones get status 503
 * @param loadLagMillis minimum age of a load report
 * @param loadWeightsMillis time to load other weights while at most two engines of the fleet load
 * @param importMillisPerBlock time to copy one block from the store of saved KV cache
 * @param orphanTimeoutMillis time for which a request keeps running after its reader has disconnected
 * @param checksFencing whether orders with an old fencing number are refused
 */
public record EngineSettings(
        String model,
        String weightsVersion,
        int slots,
        double prefillTokensPerSecond,
        double tokenMillis,
        int cacheBlocks,
        int maxWaiting,
        long loadLagMillis,
        long loadWeightsMillis,
        double importMillisPerBlock,
        long orphanTimeoutMillis,
        boolean checksFencing) {
    /** Returns a small engine; its prefill is so slow that a missing prefix shows in the time to first token. */
    public static EngineSettings of(String model, String weightsVersion) {
        return new EngineSettings(model, weightsVersion, 8, 40_000, 4, 2_048, 1_000, 0, 2_000, 0.5, 5_000, true);
    }

    /** Returns a copy with another number of slots. */
    public EngineSettings withSlots(int newSlots) {
        return new EngineSettings(
                model,
                weightsVersion,
                newSlots,
                prefillTokensPerSecond,
                tokenMillis,
                cacheBlocks,
                maxWaiting,
                loadLagMillis,
                loadWeightsMillis,
                importMillisPerBlock,
                orphanTimeoutMillis,
                checksFencing);
    }

    /** Returns a copy with other rates. */
    public EngineSettings withRates(double newPrefillTokensPerSecond, double newTokenMillis) {
        return new EngineSettings(
                model,
                weightsVersion,
                slots,
                newPrefillTokensPerSecond,
                newTokenMillis,
                cacheBlocks,
                maxWaiting,
                loadLagMillis,
                loadWeightsMillis,
                importMillisPerBlock,
                orphanTimeoutMillis,
                checksFencing);
    }

    /** Returns a copy with another cache size. */
    public EngineSettings withCacheBlocks(int newCacheBlocks) {
        return new EngineSettings(
                model,
                weightsVersion,
                slots,
                prefillTokensPerSecond,
                tokenMillis,
                newCacheBlocks,
                maxWaiting,
                loadLagMillis,
                loadWeightsMillis,
                importMillisPerBlock,
                orphanTimeoutMillis,
                checksFencing);
    }

    /** Returns a copy with another load report lag, weight loading time and fencing behaviour. */
    public EngineSettings withControl(long newLoadLagMillis, long newLoadWeightsMillis, boolean newChecksFencing) {
        return new EngineSettings(
                model,
                weightsVersion,
                slots,
                prefillTokensPerSecond,
                tokenMillis,
                cacheBlocks,
                maxWaiting,
                newLoadLagMillis,
                newLoadWeightsMillis,
                importMillisPerBlock,
                orphanTimeoutMillis,
                newChecksFencing);
    }
}
