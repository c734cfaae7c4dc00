package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.CandidateSampler;
import io.agatelane.core.fleet.query.ChoiceSettings;
import io.agatelane.core.fleet.query.PrefixLocator;
import io.agatelane.core.fleet.query.PromptRequest;
import io.agatelane.core.fleet.query.UpstreamChooser;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/**
 * Simulates short requests that many routers send within one gossip round: all routers see the same loads, and none
 * sees the requests of the others. The baseline compares all engines.
 */
public class CandidateSamplerTest {
    private static final int ENGINES = 40;
    private static final int REQUESTS = 300;
    private static final int ROUTERS = 85;
    private static final double TOKENS_PER_MILLI = 70;
    private static final String[] ZONES = {"a", "b", "c"};
    private static final Prompt SHORT_PROMPT =
            new Prompt(FleetFixtures.MODEL, List.of(new PromptPart("l", 90), new PromptPart("own", 310)), 400, 8);

    // Guards against a thundering herd: all routers pick the engine that was the least loaded one a moment ago.
    @Test
    public void noEngineGetsALargeShareOfARound() {
        int baseline = maxRequestsPerEngine(false);
        int sampled = maxRequestsPerEngine(true);
        assertTrue(baseline > REQUESTS / 10, "the baseline must overload one engine: " + baseline);
        // The mean is 7.5; engines have 12 slots.
        assertTrue(sampled <= 24, "most requests at one engine: " + sampled);
    }

    // Guards against a sample that contains failing engines, or more than one with older weights, instead of a healthy
    // engine with the newest weights.
    @Test
    public void newestAndHealthyEnginesAreSampledFirst() {
        List<Candidate> all = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            all.add(FleetFixtures.candidate("old" + i, "a", 1, UpstreamEstimate.IDLE));
            all.add(FleetFixtures.candidate(
                    "ill" + i, "a", 2, new UpstreamEstimate(0, PrefillBacklog.EMPTY, 100, 0, 3, 0)));
        }
        Candidate healthy = FleetFixtures.candidate("sound", "b", 2, UpstreamEstimate.IDLE);
        all.add(healthy);
        CandidateSampler sampler = new CandidateSampler("a", 2, "v");
        for (int i = 0; i < 20; i++) {
            List<Candidate> sampled = sampler.sampleForRequest(all, "r" + i);
            assertTrue(sampled.contains(healthy));
            long older = sampled.stream()
                    .filter(candidate -> candidate.weightsVersion() < 2)
                    .count();
            assertEquals(older, 1);
        }
    }

    // Guards against a prefix that is spread over the whole fleet because each router samples other engines.
    @Test
    public void aPrefixSelectsTheSameEnginesOnAllRouters() {
        List<Candidate> all = candidates(RandomSource.XO_RO_SHI_RO_128_PP.create(1));
        List<Candidate> sampledInZoneA =
                new CandidateSampler("a", 1, "v").sampleForPrefix(all, "p", candidate -> false);
        List<Candidate> sampledInZoneB =
                new CandidateSampler("b", 1, "w").sampleForPrefix(all, "p", candidate -> false);
        assertEquals(sampledInZoneA, sampledInZoneB);
        Candidate holder = all.stream()
                .filter(candidate -> !sampledInZoneA.contains(candidate))
                .findFirst()
                .orElseThrow();
        assertTrue(new CandidateSampler("a", 1, "v")
                .sampleForPrefix(all, "p", candidate -> candidate == holder)
                .contains(holder));
    }

    private static int maxRequestsPerEngine(boolean isSampled) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
        List<Candidate> reported = candidates(random);
        int[] requestCounts = new int[ENGINES];
        int[][] ownCounts = new int[ROUTERS][ENGINES];
        for (int i = 0; i < REQUESTS; i++) {
            String zone = ZONES[random.nextInt(ZONES.length)];
            int router = i % ROUTERS;
            List<Candidate> all = withOwn(reported, ownCounts[router]);
            List<Candidate> candidates =
                    isSampled ? new CandidateSampler(zone, 1, "v" + router).sampleForRequest(all, "r" + i) : all;
            PrefixLocator locator = new PrefixLocator(
                    new PlacementIndex(),
                    SHORT_PROMPT,
                    FleetFixtures.PROFILE,
                    Optional.empty(),
                    Optional.empty(),
                    candidates);
            Candidate chosen = new UpstreamChooser(new ChoiceSettings(zone, 30))
                    .chooseForPrompt(
                            candidates,
                            new PromptRequest(SHORT_PROMPT, FleetFixtures.PROFILE, 1, 1, 500, TOKENS_PER_MILLI),
                            locator)
                    .orElseThrow()
                    .candidate();
            requestCounts[all.indexOf(chosen)]++;
            ownCounts[router][all.indexOf(chosen)]++;
        }
        int max = 0;
        for (int count : requestCounts) {
            max = Math.max(max, count);
        }
        return max;
    }

    // A router knows its own requests at once.
    private static List<Candidate> withOwn(List<Candidate> reported, int[] ownCounts) {
        List<Candidate> all = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            Candidate candidate = reported.get(i);
            UpstreamEstimate load = candidate.estimate();
            PrefillBacklog backlog =
                    load.backlog().with(1, ownCounts[i] * SHORT_PROMPT.inputTokens() / TOKENS_PER_MILLI);
            UpstreamEstimate withOwn = new UpstreamEstimate(load.requests() + ownCounts[i], backlog, 100, 0, 0, 0);
            all.add(new Candidate(candidate.upstream(), withOwn, candidate.weightsVersion()));
        }
        return all;
    }

    private static List<Candidate> candidates(UniformRandomProvider random) {
        List<Candidate> all = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            UpstreamEstimate load = new UpstreamEstimate(
                    random.nextInt(8), PrefillBacklog.EMPTY.with(1, random.nextInt(60)), 100, 0, 0, 0);
            all.add(FleetFixtures.candidate("e" + i, ZONES[i % ZONES.length], 1, load));
        }
        return all;
    }
}
