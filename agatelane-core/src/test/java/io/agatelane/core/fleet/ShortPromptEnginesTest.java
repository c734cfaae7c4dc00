package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.CandidateSampler;
import io.agatelane.core.fleet.query.ShortPromptEngines;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

public class ShortPromptEnginesTest {
    private static final String[] ZONES = {"a", "b", "c"};
    private static final int ENGINES = 63;
    private static final long VERSION = 2;

    // Guards against routers that keep different engines free of long prompts, so that none is free of them.
    @Test
    public void allRoutersSelectTheSameEnginesInEachZone() {
        List<FleetUpstream> engines = engines(VERSION);
        List<FleetUpstream> shuffled = new ArrayList<>(engines);
        Collections.shuffle(shuffled, new Random(1));
        Set<String> selected = ShortPromptEngines.of(engines);
        assertEquals(ShortPromptEngines.of(shuffled), selected);
        assertEquals(selected.size(), 3 * (ENGINES / 3 / 4));
        assertEquals(ShortPromptEngines.of(engines.subList(0, 9)), Set.of());
    }

    // Guards against short prompts that wait behind long ones on every engine.
    @Test
    public void longPromptsAreKeptAwayFromTheEnginesOfShortOnes() {
        List<Candidate> all = candidates(engines(VERSION));
        Set<String> selected = ShortPromptEngines.of(engines(VERSION));
        for (int i = 0; i < 200; i++) {
            CandidateSampler sampler = new CandidateSampler("a", VERSION, "vm-" + i, selected);
            List<Candidate> ofLong = sampler.sampleForPrefix(all, "p" + i, candidate -> false);
            assertTrue(ofLong.stream()
                    .noneMatch(
                            candidate -> selected.contains(candidate.upstream().id())));
            List<Candidate> withoutPrefix = sampler.sampleForLongPrompt(all, "r" + i);
            assertTrue(withoutPrefix.stream()
                    .noneMatch(
                            candidate -> selected.contains(candidate.upstream().id())));
            long forShort = sampler.sampleForRequest(all, "r" + i).stream()
                    .filter(candidate -> selected.contains(candidate.upstream().id()))
                    .count();
            assertTrue(forShort >= 3, "engines for short prompts: " + forShort);
        }
    }

    // Guards against short prompts that find no other engine when all of theirs are full, and against prompts that are
    // refused because no engine of their kind has the newest weights.
    @Test
    public void otherEnginesAreUsedWhereNoneOfTheKindIsLeft() {
        Set<String> selected = ShortPromptEngines.of(engines(VERSION));
        List<Candidate> others = candidates(engines(VERSION)).stream()
                .filter(candidate -> !selected.contains(candidate.upstream().id()))
                .toList();
        CandidateSampler sampler = new CandidateSampler("a", VERSION, "vm", selected);
        assertTrue(sampler.sampleForRequest(others, "r").size() >= 3);
        List<Candidate> onlySelected = candidates(engines(VERSION)).stream()
                .filter(candidate -> selected.contains(candidate.upstream().id()))
                .toList();
        assertFalse(
                sampler.sampleForPrefix(onlySelected, "p", candidate -> false).isEmpty());
        assertFalse(sampler.sampleForLongPrompt(onlySelected, "r").isEmpty());
        Set<Candidate> found = new HashSet<>();
        List<Candidate> all = candidates(engines(VERSION));
        for (int i = 0; i < 50; i++) {
            found.addAll(sampler.sampleForRequest(all, "r" + i));
        }
        assertTrue(found.stream()
                .anyMatch(candidate -> !selected.contains(candidate.upstream().id())));
    }

    private static List<FleetUpstream> engines(long version) {
        List<FleetUpstream> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(FleetFixtures.engine("e" + i, ZONES[i % ZONES.length], version));
        }
        return engines;
    }

    private static List<Candidate> candidates(List<FleetUpstream> engines) {
        return engines.stream()
                .map(engine -> new Candidate(engine, UpstreamEstimate.IDLE, VERSION))
                .toList();
    }
}
