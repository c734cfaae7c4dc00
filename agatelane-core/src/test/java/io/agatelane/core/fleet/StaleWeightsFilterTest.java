package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;

import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.StaleWeightsFilter;
import java.util.List;
import org.testng.annotations.Test;

public class StaleWeightsFilterTest {
    private static final long ALLOWED_MILLIS = 12_000;
    private static final RequestedWeights.FirstRead SEEN_AT_ZERO = new RequestedWeights.FirstRead(0, true);

    // Guards against an engine that was unreachable, returns with old weights and receives requests again.
    @Test
    public void returnedEngineWithOldWeightsGetsNoRequests() {
        RequestedWeights requested = RequestedWeights.of(1, SEEN_AT_ZERO).with(2, SEEN_AT_ZERO);
        assertEquals(allowed(requested, 19_000, 1, 2), List.of(2L));
    }

    // Guards against an age that restarts with each further version: 1 was replaced when 2 was requested, not 3.
    @Test
    public void ageCountsFromTheFirstReplacement() {
        RequestedWeights requested = RequestedWeights.of(1, SEEN_AT_ZERO)
                .with(2, SEEN_AT_ZERO)
                .with(3, new RequestedWeights.FirstRead(8_000, true));
        assertEquals(allowed(requested, 11_000, 1, 2), List.of(2L));
        assertEquals(allowed(requested, 9_000, 1, 2), List.of(1L, 2L));
    }

    // Guards against a restarted router that uses the time of its first read as the time of the request for a version.
    @Test
    public void restartedRouterUsesOldWeightsOnlyWithoutNewerOnes() {
        RequestedWeights requested = RequestedWeights.of(2, new RequestedWeights.FirstRead(1_000, false));
        assertEquals(allowed(requested, 1_100, 1, 2), List.of(2L));
        assertEquals(allowed(requested, 1_100, 1, 1), List.of(1L, 1L));
    }

    // Guards against an outage before the first new version of a day, when every engine still has the only version.
    @Test
    public void currentWeightsAreAllowedAtAnyAge() {
        assertEquals(allowed(RequestedWeights.of(1, SEEN_AT_ZERO), 900_000, 1, 1), List.of(1L, 1L));
    }

    private static List<Long> allowed(RequestedWeights requested, long nowMillis, long... versions) {
        List<Candidate> candidates = java.util.Arrays.stream(versions)
                .mapToObj(version -> FleetFixtures.candidate("e" + version, "z", version, UpstreamEstimate.IDLE))
                .toList();
        return StaleWeightsFilter.allowedCandidates(candidates, requested, nowMillis, ALLOWED_MILLIS).stream()
                .map(Candidate::weightsVersion)
                .toList();
    }
}
