package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.RequestedWeights;
import java.util.List;
import java.util.Optional;

/**
 * Excludes candidates whose weights were replaced too long ago.
 *
 * <p>During a roll-out, engines that were unreachable may return, or restart, with the weights that they had before.
 */
public final class StaleWeightsFilter {
    // Safety margin within the allowed time, for reading the store and for the queue of a busy engine.
    private static final long MARGIN_MILLIS = 2_500;

    private StaleWeightsFilter() {}

    /**
     * Returns the candidates that may still start a request.
     *
     * @param allowedMillis time for which replaced weights may still be used after the newer version was requested
     */
    public static List<Candidate> allowedCandidates(
            List<Candidate> candidates, RequestedWeights requested, long nowMillis, long allowedMillis) {
        List<Candidate> newest = candidates.stream()
                .filter(candidate -> candidate.weightsVersion() >= requested.newest())
                .toList();
        return candidates.stream()
                .filter(candidate -> isAllowed(candidate, requested, nowMillis, allowedMillis, newest.isEmpty()))
                .toList();
    }

    private static boolean isAllowed(
            Candidate candidate, RequestedWeights requested, long nowMillis, long allowedMillis, boolean noneIsNewest) {
        Optional<RequestedWeights.FirstRead> replacement = requested.replacementOf(candidate.weightsVersion());
        if (replacement.isEmpty()) {
            return true;
        }
        boolean inTime = nowMillis - replacement.get().firstSeenMillis() < allowedMillis - MARGIN_MILLIS;
        // A restarted router does not know how long ago the newer version was requested.
        return inTime && (replacement.get().requestTimeKnown() || noneIsNewest);
    }
}
