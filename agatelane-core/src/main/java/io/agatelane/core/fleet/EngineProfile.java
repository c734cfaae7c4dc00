package io.agatelane.core.fleet;

/**
 * What the operator states of the model engines of a service.
 *
 * @param slots requests that run at once
 * @param cacheTokens memory shared by running requests and cached prompt parts
 * @param tokenBytes size of one token in that memory
 * @param linkMegabitsPerSecond speed of transfers between engines
 */
public record EngineProfile(int slots, long cacheTokens, long tokenBytes, double linkMegabitsPerSecond) {
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT_MILLI = 1_000;

    /** Time to copy tokens from another engine in the same availability zone. */
    public double transferMillis(long tokens) {
        if (linkMegabitsPerSecond <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        return tokens * tokenBytes * BITS_PER_BYTE / (linkMegabitsPerSecond * BITS_PER_MEGABIT_MILLI);
    }
}
