package io.agatelane.core.fleet;

/**
 * A store that keeps KV cache of prompt parts outside the engines.
 *
 * @param address IP:PORT
 * @param capacityTokens tokens that fit
 * @param linkMegabitsPerSecond speed of transfers from and to it
 */
public record CacheStore(String name, String address, String zone, long capacityTokens, double linkMegabitsPerSecond) {}
