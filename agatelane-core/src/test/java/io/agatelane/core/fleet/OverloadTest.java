package io.agatelane.core.fleet;

import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.ChoiceSettings;
import io.agatelane.core.fleet.query.EnginePriority;
import io.agatelane.core.fleet.query.PrefixLocator;
import io.agatelane.core.fleet.query.PromptRequest;
import io.agatelane.core.fleet.query.QueueLimit;
import io.agatelane.core.fleet.query.UpstreamChoice;
import io.agatelane.core.fleet.query.UpstreamChooser;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulates a demand above the engines' capacity: short prompts of 400 tokens and long prompts of 16,000 tokens, most
 * of them shared. Engines prefill one prompt after the other, by priority. The baseline accepts every request, sends it
 * to the engine with the fewest requests and uses one priority for all.
 */
public class OverloadTest {
    private static final PriorityLevels LEVELS = PriorityLevels.of(List.of(OptionalInt.of(1)), List.of(0));
    private static final int ENGINES = 4;
    private static final double TOKENS_PER_MILLI = 100;
    private static final long OBJECTIVE_MILLIS = 500;
    private static final int RUN_MILLIS = 20_000;
    private static final int PREFIXES = 40;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    private record Job(Prompt prompt, boolean isShort, int priority, long arrivedMillis, double workMillis) {}

    private static final class Engine {
        private final PriorityQueue<Job> queue =
                new PriorityQueue<>(Comparator.comparingInt(Job::priority).thenComparingLong(Job::arrivedMillis));
        private PrefillBacklog backlog = PrefillBacklog.EMPTY;
        private double freeAtMillis;
    }

    private static final class Outcome {
        private int shortInTime;
        private int longInTime;
        private int shortCount;
        private int refused;
    }

    // Guards against an overload in which every request is late because all of them are accepted.
    @Test(dataProvider = "seeds")
    public void shortQueuesServeMoreInTime(long seed) {
        Outcome baseline = simulate(seed, false);
        Outcome current = simulate(seed, true);
        assertTrue(
                current.shortInTime + current.longInTime > 1.5 * (baseline.shortInTime + baseline.longInTime),
                "seed " + seed + ": " + current.shortInTime + "+" + current.longInTime + " against "
                        + baseline.shortInTime + "+" + baseline.longInTime);
        assertTrue(current.longInTime >= baseline.longInTime, "long prompts must not suffer for the short ones");
        assertTrue(current.shortInTime > 0.9 * current.shortCount, "short prompts must not queue behind long ones");
        assertTrue(current.refused > 0, "the demand is above the capacity");
    }

    private static Outcome simulate(long seed, boolean current) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        UpstreamChooser chooser = new UpstreamChooser(new ChoiceSettings("z", 0));
        PlacementIndex index = new PlacementIndex();
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new Engine());
        }
        Outcome outcome = new Outcome();
        double next = 0;
        for (long now = 0; now < RUN_MILLIS; now++) {
            for (Engine engine : engines) {
                run(engine, now, outcome);
            }
            while (next <= now) {
                next += 2.0 + 4.0 * random.nextDouble();
                boolean isShort = random.nextInt(5) > 0;
                outcome.shortCount += isShort ? 1 : 0;
                Prompt prompt = prompt(isShort, random.nextInt(PREFIXES));
                if (current) {
                    sendChosen(chooser, index, engines, prompt, isShort, now, outcome);
                } else {
                    sendToLeastLoaded(engines, prompt, isShort, now);
                }
            }
        }
        return outcome;
    }

    private static void run(Engine engine, long now, Outcome outcome) {
        while (engine.freeAtMillis <= now && !engine.queue.isEmpty()) {
            Job job = engine.queue.poll();
            engine.freeAtMillis = Math.max(engine.freeAtMillis, now - 1) + job.workMillis();
            engine.backlog = engine.backlog.with(job.priority(), -job.workMillis());
            if (engine.freeAtMillis - job.arrivedMillis() <= OBJECTIVE_MILLIS) {
                outcome.shortInTime += job.isShort() ? 1 : 0;
                outcome.longInTime += job.isShort() ? 0 : 1;
            }
        }
    }

    private static void sendToLeastLoaded(List<Engine> engines, Prompt prompt, boolean isShort, long now) {
        Engine least = engines.stream()
                .min(Comparator.comparingInt(engine -> engine.queue.size()))
                .orElseThrow();
        add(least, new Job(prompt, isShort, 5, now, prompt.inputTokens() / TOKENS_PER_MILLI));
    }

    private static void sendChosen(
            UpstreamChooser chooser,
            PlacementIndex index,
            List<Engine> engines,
            Prompt prompt,
            boolean isShort,
            long now,
            Outcome outcome) {
        int priority = EnginePriority.of(
                LEVELS, OptionalInt.of(1), 0, prompt.inputTokens() / TOKENS_PER_MILLI, OBJECTIVE_MILLIS);
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            Engine engine = engines.get(i);
            candidates.add(FleetFixtures.candidate(
                    "e" + i, "z", 1, new UpstreamEstimate(engine.queue.size(), engine.backlog, 100, 0, 0, 0)));
        }
        PrefixLocator locator =
                new PrefixLocator(index, prompt, FleetFixtures.PROFILE, Optional.empty(), Optional.empty(), candidates);
        PromptRequest request =
                new PromptRequest(prompt, FleetFixtures.PROFILE, priority, 1, OBJECTIVE_MILLIS, TOKENS_PER_MILLI);
        UpstreamChoice choice =
                chooser.chooseForPrompt(candidates, request, locator).orElseThrow();
        if (QueueLimit.retryAfterMillis(choice, OBJECTIVE_MILLIS).isPresent()) {
            outcome.refused++;
            return;
        }
        // The engine caches exactly the parts of the placements; a copy takes the time that the chooser expects.
        double work = choice.prefillMillis();
        locator.placementsAfterPrefill(choice.candidate(), false).forEach(index::recordLocal);
        add(engines.get(candidates.indexOf(choice.candidate())), new Job(prompt, isShort, priority, now, work));
    }

    private static void add(Engine engine, Job job) {
        engine.queue.add(job);
        engine.backlog = engine.backlog.with(job.priority(), job.workMillis());
    }

    private static Prompt prompt(boolean isShort, int prefix) {
        return isShort
                ? new Prompt(
                        FleetFixtures.MODEL,
                        List.of(new PromptPart("l" + prefix, 90), new PromptPart("own", 310)),
                        400,
                        8)
                : new Prompt(
                        FleetFixtures.MODEL,
                        List.of(new PromptPart("d" + prefix, 13_000), new PromptPart("own", 3_000)),
                        16_000,
                        20);
    }
}
