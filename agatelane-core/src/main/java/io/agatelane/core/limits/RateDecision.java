package io.agatelane.core.limits;

/**
 * Whether a request of a limited account may be sent, and why.
 *
 * @param fraction fraction of the account's requests that are admitted at this moment
 * @param demandPerSecond estimated demand of the account at all routers, in units
 * @param level estimated level of the token bucket that this router draws from, in units; negative after overuse
 * @param share part of the limit that the routers in contact with this one may use
 * @param retryAfterMillis time after which the caller may retry; 0 when the request is admitted
 */
public record RateDecision(
        boolean admitted, double fraction, double demandPerSecond, double level, double share, long retryAfterMillis) {}
