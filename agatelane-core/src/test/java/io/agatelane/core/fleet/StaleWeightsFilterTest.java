package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;

import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.StaleWeightsFilter;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.Test;

public class StaleWeightsFilterTest {
    private static final long ALLOWED_MILLIS = 12_000;
    private static final RequestedWeights.RequestTime SEEN_AT_ZERO = readAt(0, true);

    // Guards against an engine that was unreachable, returns with old weights and receives requests again.
    @Test
    public void returnedEngineWithOldWeightsGetsNoRequests() {
        RequestedWeights requested = RequestedWeights.of(1, SEEN_AT_ZERO).with(2, SEEN_AT_ZERO);
        assertEquals(allowed(requested, 19_000, 1, 2), List.of(2L));
    }

    // Guards against an age that restarts with each further version: 1 was replaced when 2 was requested, not 3.
    @Test
    public void ageCountsFromTheFirstReplacement() {
        RequestedWeights requested =
                RequestedWeights.of(1, SEEN_AT_ZERO).with(2, SEEN_AT_ZERO).with(3, readAt(8_000, true));
        assertEquals(allowed(requested, 11_000, 1, 2), List.of(2L));
        assertEquals(allowed(requested, 9_000, 1, 2), List.of(1L, 2L));
    }

    // Guards against a restarted router that uses the time of its first read as the time of the request for a version.
    @Test
    public void restartedRouterUsesOldWeightsOnlyWithoutNewerOnes() {
        RequestedWeights requested = RequestedWeights.of(2, readAt(1_000, false));
        assertEquals(allowed(requested, 1_100, 1, 2), List.of(2L));
        assertEquals(allowed(requested, 1_100, 1, 1), List.of(1L, 1L));
    }

    // Guards against an outage before the first new version of a day, when every engine still has the only version.
    @Test
    public void currentWeightsAreAllowedAtAnyAge() {
        assertEquals(allowed(RequestedWeights.of(1, SEEN_AT_ZERO), 900_000, 1, 1), List.of(1L, 1L));
    }

    // Guards against a restarted router that sends requests to an engine which returns with weights that were replaced
    // several versions ago, because no engine has the newest weights yet.
    @Test
    public void restartedRouterUsesTheNewestOfTheOldWeights() {
        RequestedWeights requested = RequestedWeights.of(5, readAt(1_000, false));
        assertEquals(allowed(requested, 1_100, 1, 3, 4, 4), List.of(4L, 4L));
    }

    // Guards against a restarted router that counts from its own first read although another router knows the time.
    @Test
    public void reportedRequestTimesReplaceUnknownOnes() {
        RequestedWeights requested = RequestedWeights.of(3, readAt(14_000, false))
                .withReported(Map.of(2L, at(0), 3L, at(8_000)), at(14_000));
        assertEquals(allowed(requested, 14_100, 1, 2), List.of(2L));
        assertEquals(allowed(requested, 18_000, 1, 2), List.of());
    }

    // Guards against a report that changes a time which this router knows itself, and against a version from a report
    // that the store does not hold.
    @Test
    public void reportedRequestTimesOnlyAddToOwnOnes() {
        RequestedWeights requested = RequestedWeights.of(1, SEEN_AT_ZERO)
                .with(2, readAt(5_000, true))
                .withReported(Map.of(2L, at(0), 9L, at(0)), at(5_000));
        assertEquals(allowed(requested, 10_000, 1, 2), List.of(1L, 2L));
    }

    // Guards against replaced weights that a router gives up early after a gap although another one knows the time.
    @Test
    public void reportedRequestTimesNarrowAGap() {
        RequestedWeights requested = afterGap().withReported(Map.of(2L, at(13_000)), at(14_000));
        assertEquals(allowed(requested, 20_000, 1), List.of(1L));
        assertEquals(allowed(requested, 22_000, 1), List.of());
    }

    // Guards against a time from a wall clock that is ahead, which lies after the first read of the version.
    @Test
    public void reportedRequestTimesAfterTheFirstReadAreIgnored() {
        RequestedWeights requested = afterGap().withReported(Map.of(2L, at(16_500)), at(17_000));
        assertEquals(allowed(requested, 16_500, 1), List.of());
    }

    // Guards against replaced weights that are used again, because another router records a time for a version between
    // that lies after the first read of a newer version.
    @Test
    public void reportedTimesOfVersionsBetweenEndBeforeTheFirstReadOfANewerOne() {
        RequestedWeights own = RequestedWeights.of(1, SEEN_AT_ZERO)
                .with(3, new RequestedWeights.RequestTime(at(14_000), Optional.of(at(6_000)), false));
        assertEquals(allowed(own, 24_000, 1), List.of());
        RequestedWeights requested = own.withReported(Map.of(2L, at(20_000)), at(20_100));
        assertEquals(allowed(requested, 24_000, 1), List.of());
    }

    private static RequestedWeights afterGap() {
        return RequestedWeights.of(1, SEEN_AT_ZERO)
                .with(2, new RequestedWeights.RequestTime(at(14_000), Optional.of(at(6_000)), false));
    }

    // Guards against a VM that was suspended, during which its monotonic clock stood still.
    @Test
    public void timeOfASuspensionCounts() {
        RequestedWeights requested = RequestedWeights.of(1, SEEN_AT_ZERO).with(2, SEEN_AT_ZERO);
        assertEquals(allowed(requested, new ClockReading(5_000, 12_000), 1, 2), List.of(2L));
    }

    private static RequestedWeights.RequestTime readAt(long millis, boolean isKnown) {
        return new RequestedWeights.RequestTime(
                at(millis), isKnown ? Optional.of(at(millis)) : Optional.empty(), false);
    }

    private static ClockReading at(long millis) {
        return new ClockReading(millis, millis);
    }

    private static List<Long> allowed(RequestedWeights requested, long nowMillis, long... versions) {
        return allowed(requested, new ClockReading(nowMillis, nowMillis), versions);
    }

    private static List<Long> allowed(RequestedWeights requested, ClockReading now, long... versions) {
        List<Candidate> candidates = java.util.Arrays.stream(versions)
                .mapToObj(version -> FleetFixtures.candidate("e" + version, "z", version, UpstreamEstimate.IDLE))
                .toList();
        return StaleWeightsFilter.allowedCandidates(candidates, requested, now, ALLOWED_MILLIS).stream()
                .map(Candidate::weightsVersion)
                .toList();
    }
}
