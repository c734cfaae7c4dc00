package io.agatelane.core.fleet;

/**
 * A store outside the engines that holds the KV cache of prompt parts.
 *
 * @param address IP:PORT
 * @param capacityTokens number of tokens that fit into the store
 * @param linkMegabitsPerSecond bandwidth of transfers from and to the store
 * @param incarnation changes when the store restarts, which empties it; 0 while it has not been queried yet
 */
public record CacheStore(
        String name, String address, String zone, long capacityTokens, double linkMegabitsPerSecond, long incarnation) {
    /** Returns the same store with the incarnation that it has reported. */
    public CacheStore withIncarnation(long newIncarnation) {
        return new CacheStore(name, address, zone, capacityTokens, linkMegabitsPerSecond, newIncarnation);
    }
}
