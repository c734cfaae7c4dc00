package io.agatelane.core.fleet;

/**
 * A store that keeps KV cache of prompt parts outside the engines.
 *
 * @param address IP:PORT
 * @param capacityTokens tokens that fit
 * @param linkMegabitsPerSecond speed of transfers from and to it
 * @param incarnation changes when the store restarts, which empties it; 0 when it was not asked yet
 */
public record CacheStore(
        String name, String address, String zone, long capacityTokens, double linkMegabitsPerSecond, long incarnation) {
    /** The same store after a start. */
    public CacheStore withIncarnation(long newIncarnation) {
        return new CacheStore(name, address, zone, capacityTokens, linkMegabitsPerSecond, newIncarnation);
    }
}
