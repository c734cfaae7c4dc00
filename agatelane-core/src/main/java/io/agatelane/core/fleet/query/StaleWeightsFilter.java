package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.ClockReading;
import io.agatelane.core.fleet.RequestedWeights;
import io.agatelane.core.fleet.RequestedWeights.RequestTime;
import java.util.List;
import java.util.Optional;

/**
 * Excludes candidates whose weights were replaced too long ago.
 *
 * <p>During a roll-out, engines that were unreachable may return, or restart, with the weights that they had before.
 */
public final class StaleWeightsFilter {
    // Safety margin within the allowed time, for a queue that takes longer than expected.
    private static final long MARGIN_MILLIS = 2_500;
    private static final double PERCENT = 100;

    private StaleWeightsFilter() {}

    /**
     * Returns the candidates that may still start a request.
     *
     * @param now current time
     * @param allowedMillis time for which replaced weights may still be used after the newer version was requested
     */
    public static List<Candidate> allowedCandidates(
            List<Candidate> candidates, RequestedWeights requested, ClockReading now, long allowedMillis) {
        long newestOfAll =
                candidates.stream().mapToLong(Candidate::weightsVersion).max().orElse(0);
        return candidates.stream()
                .filter(candidate ->
                        isAllowed(candidate, requested, candidate.weightsVersion() == newestOfAll, now, allowedMillis))
                .toList();
    }

    private static boolean isAllowed(
            Candidate candidate,
            RequestedWeights requested,
            boolean hasNewestOfAll,
            ClockReading now,
            long allowedMillis) {
        Optional<RequestTime> replacement = requested.replacementOf(candidate.weightsVersion());
        if (replacement.isEmpty()) {
            return true;
        }
        long ageMillis = replacement.get().earliest().ageMillis(now.monotonicMillis(), now.epochMillis());
        boolean inTime = ageMillis + expectedQueueMillis(candidate) < allowedMillis - MARGIN_MILLIS;
        // A restarted router may not know how long ago the newer version was requested.
        return inTime && (replacement.get().isKnown() || hasNewestOfAll);
    }

    // A request begins when the work ahead of it is done, whatever its priority when it came.
    private static double expectedQueueMillis(Candidate candidate) {
        return candidate.estimate().backlog().totalMillis()
                * candidate.estimate().durationPercent()
                / PERCENT;
    }
}
