package io.agatelane.node.io.engine;

import io.agatelane.core.routing.Decision;

/**
 * The engine chosen for an attempt, with the estimates that the attempt needs later.
 *
 * @param totalMillis expected time to first token
 * @param prefillTokens prompt tokens that are probably not cached
 */
record EngineChoice(Engine engine, double totalMillis, long prefillTokens, boolean longRequest) {
    // Below this, scheduling noise on the router and the engine is larger than the measured time.
    private static final double MIN_EXPECTED_MILLIS = 20;

    static EngineChoice of(Engine engine, Decision decision, int promptTokens) {
        int best = decision.best();
        long prefillTokens = Math.max(0, promptTokens - (long) decision.cachedTokens(best));
        return new EngineChoice(engine, decision.totalMillis(best), prefillTokens, decision.isLong(best));
    }

    /** Returns the expected time to first token with which measured times are compared; not below a minimum. */
    double expectedMillis() {
        return Math.max(MIN_EXPECTED_MILLIS, totalMillis);
    }
}
