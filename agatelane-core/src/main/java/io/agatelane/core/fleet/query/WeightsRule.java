package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.NamedWeights;
import java.util.List;
import java.util.Optional;

/**
 * Keeps requests off engines whose weights were replaced too long ago.
 *
 * <p>Answers the load of a roll-out that meets engines which were dark or restart with the weights they had.
 */
public final class WeightsRule {
    // Part of the allowed time that is left unused: reading the store, and queueing at a busy engine.
    private static final long MARGIN_MILLIS = 2_500;

    private WeightsRule() {}

    /**
     * The candidates that may begin a request.
     *
     * @param allowedMillis time for which replaced weights may still be used
     */
    public static List<Candidate> allowed(
            List<Candidate> candidates, NamedWeights named, long nowMillis, long allowedMillis) {
        List<Candidate> newest = candidates.stream()
                .filter(candidate -> candidate.weightsVersion() >= named.newest())
                .toList();
        return candidates.stream()
                .filter(candidate -> isAllowed(candidate, named, nowMillis, allowedMillis, newest.isEmpty()))
                .toList();
    }

    private static boolean isAllowed(
            Candidate candidate, NamedWeights named, long nowMillis, long allowedMillis, boolean noneIsNewest) {
        Optional<NamedWeights.Naming> replaced = named.replaced(candidate.weightsVersion());
        if (replaced.isEmpty()) {
            return true;
        }
        boolean inTime = nowMillis - replaced.get().seenMillis() < allowedMillis - MARGIN_MILLIS;
        // A restarted router does not know how long ago the version was named.
        return inTime && (replaced.get().sawNaming() || noneIsNewest);
    }
}
