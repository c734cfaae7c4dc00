package io.agatelane.core.limits;

import java.util.Locale;
import java.util.OptionalLong;

/**
 * Rate limit of a client account over all routers together.
 *
 * @param ratePerSecond units per second, greater than 0
 * @param burst units that may be used at once after a pause
 * @param defaultTokens units of a request that states no token count, where the unit is tokens
 */
public record AccountLimit(Unit unit, double ratePerSecond, double burst, long defaultTokens) {
    /** What a limit counts. */
    public enum Unit {
        /** Each request counts as one. */
        REQUESTS {
            @Override
            long units(OptionalLong tokens, long defaultTokens) {
                return 1;
            }
        },
        /** A request counts as the tokens of its prompt and of its longest output. */
        TOKENS {
            @Override
            long units(OptionalLong tokens, long defaultTokens) {
                return Math.max(0, tokens.orElse(defaultTokens));
            }
        };

        /** Name for messages, in the plural. */
        public String plural() {
            return name().toLowerCase(Locale.ROOT);
        }

        abstract long units(OptionalLong tokens, long defaultTokens);
    }

    /**
     * Returns the units that a request counts as.
     *
     * @param tokens tokens of the prompt and of the longest output; empty when the request does not state them
     */
    public long units(OptionalLong tokens) {
        return unit.units(tokens, defaultTokens);
    }
}
