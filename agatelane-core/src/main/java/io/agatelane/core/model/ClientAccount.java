package io.agatelane.core.model;

import java.util.List;

/**
 * The API keys, rate limit and routing policy of a client account.
 *
 * @param apiKeySha256 lower-case hexadecimal SHA-256 digests of the API keys
 * @param tokensPerSecond sustained rate over all routers; 0 means no limit
 * @param burstTokens tokens that may be spent at once after an idle period
 * @param weight relative share of the engines under contention, 1 to 1000
 */
public record ClientAccount(
        String name,
        List<String> apiKeySha256,
        long tokensPerSecond,
        long burstTokens,
        int weight,
        String routingPolicy) {
    public ClientAccount {
        apiKeySha256 = List.copyOf(apiKeySha256);
    }
}
