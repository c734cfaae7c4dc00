package io.agatelane.core.fleet;

/**
 * A store that keeps KV cache of prompt parts outside the engines.
 *
 * @param address IP:PORT
 * @param capacityTokens tokens that fit
 */
public record CacheStore(String name, String address, String zone, long capacityTokens) {}
