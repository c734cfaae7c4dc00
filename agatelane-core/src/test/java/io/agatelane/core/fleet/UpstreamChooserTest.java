package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.ChoiceSettings;
import io.agatelane.core.fleet.query.PrefixLocator;
import io.agatelane.core.fleet.query.PromptRequest;
import io.agatelane.core.fleet.query.UpstreamChoice;
import io.agatelane.core.fleet.query.UpstreamChooser;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

public class UpstreamChooserTest {
    private static final int URGENT = 0;
    private static final int NOT_URGENT = 5;
    private static final double TOKENS_PER_MILLI = 61.4;

    private final UpstreamChooser chooser = new UpstreamChooser(new ChoiceSettings("z", 30));

    // Guards against short prompts that are sent to an engine in the middle of long ones because these are less urgent.
    @Test
    public void urgentPromptAvoidsThePrefillOfOthers() {
        Candidate prefilling = candidate("a", 2, PrefillBacklog.EMPTY.with(NOT_URGENT, 900));
        Candidate streaming = candidate("b", 5, PrefillBacklog.EMPTY);
        UpstreamChoice choice = choose(List.of(prefilling, streaming), 383, URGENT);
        assertEquals(choice.candidate(), streaming);
        assertEquals(choice.interference(), Interference.NONE);
        UpstreamChoice only = choose(List.of(prefilling), 383, URGENT);
        assertEquals(only.interference().workMillis(), 900.0);
        assertTrue(only.expectedMillis() > 200, "expected " + only.expectedMillis());
        assertTrue(only.queueMillis() < 20, "a request is not refused for it: " + only.queueMillis());
    }

    // Guards against long prompts that stop many streams where another engine would take a little longer.
    @Test
    public void longPromptAvoidsManyStreams() {
        Candidate streaming = candidate("a", 7, PrefillBacklog.EMPTY);
        Candidate queueing = candidate("b", 1, PrefillBacklog.EMPTY.with(URGENT, 17));
        assertEquals(choose(List.of(streaming, queueing), 3_720, NOT_URGENT).candidate(), queueing);
        assertEquals(choose(List.of(streaming, queueing), 383, NOT_URGENT).candidate(), streaming);
    }

    // Guards against other decisions than before in an idle fleet: the upstream of the own zone, and the first of equal
    // ones.
    @Test
    public void idleFleetIsChosenFromAsBefore() {
        Candidate otherZone = FleetFixtures.candidate("a", "y", 1, UpstreamEstimate.IDLE);
        Candidate first = FleetFixtures.candidate("b", "z", 1, UpstreamEstimate.IDLE);
        Candidate second = FleetFixtures.candidate("c", "z", 1, UpstreamEstimate.IDLE);
        for (int tokens : new int[] {10, 383, 3_720, 17_000}) {
            for (int priority : new int[] {URGENT, NOT_URGENT}) {
                UpstreamChoice choice = choose(List.of(otherZone, first, second), tokens, priority);
                assertEquals(choice.candidate(), first);
                assertEquals(choice.expectedMillis(), tokens / TOKENS_PER_MILLI, 1e-9);
                assertEquals(choice.queueMillis(), 0.0);
            }
        }
        assertEquals(
                chooser.chooseForCall(List.of(otherZone, first, second), 40)
                        .orElseThrow()
                        .candidate(),
                first);
    }

    // Guards against a slow engine that gets as many requests as a fast one.
    @Test
    public void slowEngineIsUsedOnceTheFastOneIsBusy() {
        Candidate slow = candidate("a", 160, PrefillBacklog.EMPTY, 0);
        Candidate fast = candidate("b", 60, PrefillBacklog.EMPTY.with(URGENT, 30), 1);
        Candidate busy = candidate("b", 60, PrefillBacklog.EMPTY.with(URGENT, 300), 1);
        assertEquals(choose(List.of(slow, fast), 3_720, URGENT).candidate(), fast);
        assertEquals(choose(List.of(slow, busy), 3_720, URGENT).candidate(), slow);
    }

    private UpstreamChoice choose(List<Candidate> candidates, int tokens, int priority) {
        Prompt prompt = new Prompt(FleetFixtures.MODEL, List.of(new PromptPart("own", tokens)), tokens, 9);
        PrefixLocator locator = new PrefixLocator(
                new PlacementIndex(), prompt, FleetFixtures.PROFILE, Optional.empty(), Optional.empty(), candidates);
        PromptRequest request = new PromptRequest(prompt, FleetFixtures.PROFILE, priority, 1, 1_000, TOKENS_PER_MILLI);
        return chooser.chooseForPrompt(candidates, request, locator).orElseThrow();
    }

    private static Candidate candidate(String id, int requests, PrefillBacklog backlog) {
        return candidate(id, 100, backlog, requests);
    }

    private static Candidate candidate(String id, double durationPercent, PrefillBacklog backlog, int requests) {
        return FleetFixtures.candidate(id, "z", 1, new UpstreamEstimate(requests, backlog, durationPercent, 0, 0, 0));
    }
}
