package io.agatelane.core.fleet;

/**
 * Properties of the model engines of a service, as configured by the operator.
 *
 * @param slots number of requests that an engine runs at the same time
 * @param cacheTokens size, in tokens, of the memory shared by running requests and cached prompt parts
 * @param tokenBytes size of one token in that memory, in bytes
 * @param linkMegabitsPerSecond bandwidth of transfers between engines
 */
public record EngineProfile(int slots, long cacheTokens, long tokenBytes, double linkMegabitsPerSecond) {
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT_MILLI = 1_000;

    /**
     * Returns the time to copy tokens from another engine in the same availability zone; infinite without a configured
     * link.
     */
    public double transferMillis(long tokens) {
        if (linkMegabitsPerSecond <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        return tokens * tokenBytes * BITS_PER_BYTE / (linkMegabitsPerSecond * BITS_PER_MEGABIT_MILLI);
    }
}
