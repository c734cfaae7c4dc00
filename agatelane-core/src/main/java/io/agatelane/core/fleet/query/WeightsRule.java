package io.agatelane.core.fleet.query;

import java.util.List;

/**
 * Keeps requests off engines whose weights were replaced too long ago.
 *
 * <p>Answers the load of a roll-out that meets engines which were dark or restart with the weights they had.
 */
public final class WeightsRule {
    // Part of the allowed time that is left unused: reading the store, queueing at the engine.
    private static final long MARGIN_MILLIS = 1_500;

    private WeightsRule() {}

    /**
     * The candidates that may begin a request.
     *
     * @param newestVersion newest weights that the operator named; 0 when unknown
     * @param namedAgoMillis how long ago this router saw that version named
     * @param sawNaming whether it saw the version before, so that the age is the true one; a restarted router did not
     * @param allowedMillis time for which replaced weights may still be used
     */
    public static List<Candidate> allowed(
            List<Candidate> candidates,
            long newestVersion,
            long namedAgoMillis,
            boolean sawNaming,
            long allowedMillis) {
        if (sawNaming && namedAgoMillis < allowedMillis - MARGIN_MILLIS) {
            return candidates;
        }
        List<Candidate> newest = candidates.stream()
                .filter(candidate -> candidate.weightsVersion() >= newestVersion)
                .toList();
        boolean tooLate = namedAgoMillis >= allowedMillis - MARGIN_MILLIS;
        return newest.isEmpty() && !tooLate ? candidates : newest;
    }
}
