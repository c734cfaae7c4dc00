package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;

import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.WeightsRule;
import java.util.List;
import org.testng.annotations.Test;

public class WeightsRuleTest {
    private static final long ALLOWED_MILLIS = 12_000;
    private static final NamedWeights.Naming SEEN_AT_ZERO = new NamedWeights.Naming(0, true);

    // Guards against an engine that was dark, comes back with old weights and gets requests again.
    @Test
    public void returnedEngineWithOldWeightsGetsNothing() {
        NamedWeights named = NamedWeights.of(1, SEEN_AT_ZERO).with(2, SEEN_AT_ZERO);
        assertEquals(allowed(named, 19_000, 1, 2), List.of(2L));
    }

    // Guards against an age that starts anew with each further version: 1 was replaced when 2 was named, not 3.
    @Test
    public void ageCountsFromTheFirstReplacement() {
        NamedWeights named =
                NamedWeights.of(1, SEEN_AT_ZERO).with(2, SEEN_AT_ZERO).with(3, new NamedWeights.Naming(8_000, true));
        assertEquals(allowed(named, 11_000, 1, 2), List.of(2L));
        assertEquals(allowed(named, 9_000, 1, 2), List.of(1L, 2L));
    }

    // Guards against a restarted router that takes the time of its first read for the time of the naming.
    @Test
    public void restartedRouterUsesOldWeightsOnlyWithoutOthers() {
        NamedWeights named = NamedWeights.of(2, new NamedWeights.Naming(1_000, false));
        assertEquals(allowed(named, 1_100, 1, 2), List.of(2L));
        assertEquals(allowed(named, 1_100, 1, 1), List.of(1L, 1L));
    }

    // Guards against an outage at the first naming of a day, when every engine still has the only version.
    @Test
    public void currentWeightsAreAllowedAtAnyAge() {
        assertEquals(allowed(NamedWeights.of(1, SEEN_AT_ZERO), 900_000, 1, 1), List.of(1L, 1L));
    }

    private static List<Long> allowed(NamedWeights named, long nowMillis, long... versions) {
        List<Candidate> candidates = java.util.Arrays.stream(versions)
                .mapToObj(version -> Fleets.candidate("e" + version, "z", version, UpstreamEstimate.IDLE))
                .toList();
        return WeightsRule.allowed(candidates, named, nowMillis, ALLOWED_MILLIS).stream()
                .map(Candidate::weightsVersion)
                .toList();
    }
}
