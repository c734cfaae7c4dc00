package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.CandidateSample;
import io.agatelane.core.fleet.query.ChoiceSettings;
import io.agatelane.core.fleet.query.PromptCache;
import io.agatelane.core.fleet.query.PromptRequest;
import io.agatelane.core.fleet.query.UpstreamChooser;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/**
 * Plays short requests that many routers send within one round of their gossip: all see the same loads, none sees what
 * the others send. The naive version compares all engines.
 */
public class HerdTest {
    private static final int ENGINES = 40;
    private static final int REQUESTS = 300;
    private static final String[] ZONES = {"a", "b", "c"};
    private static final Prompt LETTER =
            new Prompt(Fleets.MODEL, List.of(new PromptPart("l", 90), new PromptPart("own", 310)), 400, 8);

    // Guards against a fleet whose routers all pick the engine that was the emptiest a moment ago.
    @Test
    public void noEngineGetsALargePartOfARound() {
        int naive = most(false);
        int drawn = most(true);
        assertTrue(naive > REQUESTS / 10, "the naive version herds: " + naive);
        // The mean is 7.5; engines have 12 slots.
        assertTrue(drawn <= 24, "most requests at one engine: " + drawn);
    }

    // Guards against an engine with older weights, or one that fails, that is drawn while sound ones with newer are
    // there.
    @Test
    public void newestAndSoundEnginesAreDrawnFirst() {
        List<Candidate> all = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            all.add(Fleets.candidate("old" + i, "a", 1, UpstreamEstimate.IDLE));
            all.add(Fleets.candidate("ill" + i, "a", 2, new UpstreamEstimate(0, PrefillBacklog.EMPTY, 100, 0, 3)));
        }
        Candidate sound = Fleets.candidate("sound", "b", 2, UpstreamEstimate.IDLE);
        all.add(sound);
        CandidateSample sample = new CandidateSample("a", 2);
        for (int i = 0; i < 20; i++) {
            List<Candidate> drawn = sample.forRequest(all, "r" + i);
            assertTrue(drawn.contains(sound));
            long older = drawn.stream()
                    .filter(candidate -> candidate.weightsVersion() < 2)
                    .count();
            assertEquals(older, 1);
        }
    }

    // Guards against a prefix that is spread over the whole fleet because each router draws others.
    @Test
    public void aPrefixDrawsTheSameEnginesEverywhere() {
        List<Candidate> all = candidates(RandomSource.XO_RO_SHI_RO_128_PP.create(1));
        List<Candidate> atA = new CandidateSample("a", 1).forPrefix(all, "p", candidate -> false);
        List<Candidate> atB = new CandidateSample("b", 1).forPrefix(all, "p", candidate -> false);
        assertEquals(atA, atB);
        Candidate holder = all.stream()
                .filter(candidate -> !atA.contains(candidate))
                .findFirst()
                .orElseThrow();
        assertTrue(new CandidateSample("a", 1)
                .forPrefix(all, "p", candidate -> candidate == holder)
                .contains(holder));
    }

    private static int most(boolean isDrawn) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
        List<Candidate> all = candidates(random);
        int[] sent = new int[ENGINES];
        for (int i = 0; i < REQUESTS; i++) {
            String zone = ZONES[random.nextInt(ZONES.length)];
            List<Candidate> seen = isDrawn ? new CandidateSample(zone, 1).forRequest(all, "r" + i) : all;
            PromptCache cache = new PromptCache(
                    new PlacementIndex(), LETTER, Fleets.PROFILE, Optional.empty(), Optional.empty(), seen);
            Candidate chosen = new UpstreamChooser(new ChoiceSettings(zone, 30, 70))
                    .chooseForPrompt(seen, new PromptRequest(LETTER, Fleets.PROFILE, 1, 1, 500), cache)
                    .orElseThrow()
                    .candidate();
            sent[all.indexOf(chosen)]++;
        }
        int most = 0;
        for (int count : sent) {
            most = Math.max(most, count);
        }
        return most;
    }

    private static List<Candidate> candidates(UniformRandomProvider random) {
        List<Candidate> all = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            UpstreamEstimate load = new UpstreamEstimate(
                    random.nextInt(8), PrefillBacklog.EMPTY.with(1, random.nextInt(60)), 100, 0, 0);
            all.add(Fleets.candidate("e" + i, ZONES[i % ZONES.length], 1, load));
        }
        return all;
    }
}
