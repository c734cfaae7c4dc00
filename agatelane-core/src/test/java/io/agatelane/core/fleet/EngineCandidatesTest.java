package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.EngineCandidates;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

public class EngineCandidatesTest {
    private static final long ALLOWED_MILLIS = 15_000;
    private static final Prompt PROMPT =
            new Prompt(FleetFixtures.MODEL, List.of(new PromptPart("own", 17_000)), 17_000, 20);
    private static final UpstreamEstimate FULL = new UpstreamEstimate(5, PrefillBacklog.EMPTY, 100, 0, 0, 90_000);
    private static final ClockReading START = new ClockReading(0, 0);
    private final Candidate fullWithNewest = FleetFixtures.candidate("a", "z", 2, FULL);
    private final Candidate idleWithReplaced = FleetFixtures.candidate("b", "z", 1, UpstreamEstimate.IDLE);

    // Guards against a restarted router that does not know how long the weights have been replaced and starts prompts
    // on them because all engines with the newest weights are full.
    @Test
    public void fullEngineWithTheNewestWeightsIsWaitedFor() {
        RequestedWeights requested =
                RequestedWeights.of(2, new RequestedWeights.RequestTime(START, Optional.empty(), false));
        EngineCandidates candidates = candidates(requested, 1_000);
        assertEquals(candidates.allowed(), List.of(fullWithNewest));
        assertTrue(candidates.isFull());
        assertEquals(candidates.withoutRoomLimit().withRoom(), List.of(fullWithNewest));
    }

    // Guards against prompts that wait although replaced weights may still be used.
    @Test
    public void replacedWeightsAreUsedWhileTheyAreAllowed() {
        RequestedWeights requested = RequestedWeights.of(
                        1, new RequestedWeights.RequestTime(START, Optional.of(START), false))
                .with(2, new RequestedWeights.RequestTime(START, Optional.of(START), false));
        assertEquals(candidates(requested, 1_000).withRoom(), List.of(idleWithReplaced));
        assertFalse(candidates(requested, 1_000).isFull());
        assertTrue(candidates(requested, ALLOWED_MILLIS).isFull());
    }

    // Guards against retries that are queued at a full engine shortly before its weights may not be used any more: they
    // begin when the work ahead of them is done, which is later than the margin.
    @Test
    public void retriesAreNotQueuedOnReplacedWeightsBeyondTheAllowedTime() {
        RequestedWeights requested = RequestedWeights.of(
                        1, new RequestedWeights.RequestTime(START, Optional.of(START), false))
                .with(2, new RequestedWeights.RequestTime(START, Optional.of(START), false));
        UpstreamEstimate queued = new UpstreamEstimate(
                20, PrefillBacklog.EMPTY.with(0, 8_000), 100, 0, 0, FleetFixtures.PROFILE.cacheTokens());
        Candidate fullWithReplaced = FleetFixtures.candidate("c", "z", 1, queued);
        long nowMillis = ALLOWED_MILLIS - 3_000;
        EngineCandidates candidates = EngineCandidates.of(
                List.of(fullWithReplaced),
                Optional.of(requested),
                new ClockReading(nowMillis, nowMillis),
                ALLOWED_MILLIS,
                PROMPT,
                FleetFixtures.PROFILE);
        assertEquals(candidates.withoutRoomLimit().withRoom(), List.of());
    }

    private EngineCandidates candidates(RequestedWeights requested, long nowMillis) {
        return EngineCandidates.of(
                List.of(fullWithNewest, idleWithReplaced),
                Optional.of(requested),
                new ClockReading(nowMillis, nowMillis),
                ALLOWED_MILLIS,
                PROMPT,
                FleetFixtures.PROFILE);
    }
}
