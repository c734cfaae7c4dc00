package io.agatelane.core.routing;

import io.agatelane.core.hash.PromptDigester;
import io.agatelane.core.hash.PromptDigests;
import io.agatelane.core.model.RoutingPolicy;
import io.agatelane.core.routing.command.StragglerProbation;
import io.agatelane.core.routing.query.ChoiceConstraints;
import io.agatelane.core.routing.query.EngineChooser;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates a seeded sequence of requests with a policy that chooses the engines. Prompts consist of nested prefixes:
 * one of 4 regulations (8,192 tokens), one of 40 districts (2,048 tokens), one of 200 dossiers (1,024 tokens), and a
 * question that is always new.
 */
final class RoutingSimulation {
    private static final int ENGINES = 8;
    private static final int CACHE_TOKENS = 120_000;
    private static final int DOSSIERS = 200;
    private static final int REPORT_INTERVAL_MILLIS = 250;

    final List<SimulatedEngine> engines = new ArrayList<>();
    private final List<PromptDigests> prompts = new ArrayList<>();
    private final long seed;
    private final double arrivalIntervalMillis;
    private final int requests;
    private double reportLagMillis;
    private boolean straggler;
    private int position;

    /** Chooses the engine of a request. */
    interface Policy {
        SimulatedEngine choose(RoutingSimulation simulation, RequestProfile request, long nowMillis);

        default void finished(
                SimulatedEngine engine, RequestProfile request, SimulatedEngine.Run run, long nowMillis) {}

        default void reported(RoutingSimulation simulation, long nowMillis) {}
    }

    /**
     * Results of a simulation.
     *
     * @param hitRate share of the prompt tokens that were cached
     * @param computedTokens prompt tokens that were not cached
     * @param p99Millis 99th percentile of the time to first token
     */
    record Result(double hitRate, long computedTokens, double p99Millis) {}

    private record End(double millis, SimulatedEngine engine) {}

    RoutingSimulation(long seed, double arrivalIntervalMillis, int requests) {
        this.seed = seed;
        this.arrivalIntervalMillis = arrivalIntervalMillis;
        this.requests = requests;
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new SimulatedEngine("e" + i, CACHE_TOKENS));
        }
        for (int dossier = 0; dossier < DOSSIERS; dossier++) {
            int district = dossier % 40;
            prompts.add(new PromptDigester("a/v1")
                    .add("system", ("regulation" + district % 4).repeat(8_192 * 4 / 11))
                    .add("system", ("district" + district).repeat(2_048 * 4 / 9))
                    .add("system", ("dossier" + dossier).repeat(1_024 * 4 / 9))
                    .add("user", "question")
                    .build());
        }
    }

    RoutingSimulation withReportLag(double millis) {
        reportLagMillis = millis;
        return this;
    }

    /** Makes the first engine 10 times slower in every second period of 5 s. */
    RoutingSimulation withStraggler() {
        straggler = true;
        return this;
    }

    Result run(Policy policy) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparingDouble(End::millis));
        double[] firstTokens = new double[requests];
        long cached = 0;
        long computed = 0;
        long prompt = 0;
        double now = 0;
        double nextReport = 0;
        for (int i = 0; i < requests; i++) {
            now += -Math.log(1 - random.nextDouble()) * arrivalIntervalMillis;
            while (nextReport <= now) {
                reportAll(nextReport);
                policy.reported(this, (long) nextReport);
                nextReport += REPORT_INTERVAL_MILLIS;
            }
            while (!ends.isEmpty() && ends.peek().millis() <= now) {
                End end = ends.poll();
                end.engine().state.recordFinished(false, (long) end.millis());
            }
            engines.get(0).setSlowdown(straggler && (long) now / 5_000 % 2 == 1 ? 10 : 1);
            RequestProfile request =
                    new RequestProfile("m", prompts.get(random.nextInt(DOSSIERS)), 20, random.nextLong());
            SimulatedEngine engine = policy.choose(this, request, (long) now);
            engine.state.recordSent(0, false, (long) now);
            SimulatedEngine.Run run = engine.run(request, 20 + random.nextInt(20), now);
            ends.add(new End(run.endMillis(), engine));
            policy.finished(engine, request, run, (long) now);
            firstTokens[i] = run.firstTokenMillis();
            cached += run.cachedTokens();
            computed += run.computedTokens();
            prompt += request.promptTokens();
        }
        Arrays.sort(firstTokens);
        return new Result((double) cached / prompt, computed, firstTokens[requests * 99 / 100]);
    }

    private void reportAll(double nowMillis) {
        for (SimulatedEngine engine : engines) {
            engine.report(nowMillis, reportLagMillis);
        }
    }

    static Policy roundRobin() {
        return (simulation, request, nowMillis) -> simulation.engines.get(simulation.position++ % ENGINES);
    }

    static Policy leastReportedLoad() {
        return (simulation, request, nowMillis) -> simulation.engines.stream()
                .min(Comparator.comparingInt(engine ->
                        engine.state.report().running() + engine.state.report().waiting()))
                .orElseThrow();
    }

    /** Chooses the earliest first token with knowledge of every cache and queue. */
    static Policy oracle() {
        return (simulation, request, nowMillis) -> simulation.engines.stream()
                .min(Comparator.comparingDouble(engine -> engine.waitMillis((double) nowMillis)
                        + (double) (request.promptTokens() - engine.cachedTokens(request))
                                * 1_000.0
                                / SimulatedEngine.PREFILL_TOKENS_PER_SECOND))
                .orElseThrow();
    }

    /** Chooses with the chooser under test. */
    static final class ChooserPolicy implements Policy {
        private final boolean probation;
        private HintTable hints;
        private PrefixRates rates;
        private EngineChooser chooser;
        private double expectedMillis;
        private int restartEvery = Integer.MAX_VALUE;
        private int choices;

        ChooserPolicy(boolean probation) {
            this.probation = probation;
            restart();
        }

        /** Discards all state of the router after each given number of requests. */
        ChooserPolicy withRestartEvery(int requests) {
            restartEvery = requests;
            return this;
        }

        private void restart() {
            hints = new HintTable(14);
            rates = new PrefixRates(12);
            chooser = new EngineChooser(hints, rates);
        }

        @Override
        public SimulatedEngine choose(RoutingSimulation simulation, RequestProfile request, long nowMillis) {
            if (++choices % restartEvery == 0) {
                restart();
            }
            ModelFleet fleet = new ModelFleet(
                    "m",
                    "v1",
                    simulation.engines.stream().map(engine -> engine.state).toList(),
                    "zone-a");
            ChoiceConstraints constraints = new ChoiceConstraints(RoutingPolicy.DEFAULT, 1, upstream -> false);
            Decision decision = chooser.choose(fleet, request, constraints, nowMillis);
            UpstreamState best = decision.upstream(decision.best());
            if (best.probation()) {
                best.recordProbe(nowMillis);
            }
            expectedMillis = Math.max(20, decision.totalMillis(decision.best()));
            return simulation.engines.stream()
                    .filter(engine -> engine.state == best)
                    .findFirst()
                    .orElseThrow();
        }

        @Override
        public void finished(SimulatedEngine engine, RequestProfile request, SimulatedEngine.Run run, long nowMillis) {
            for (int level = 0; level < request.levelCount(); level++) {
                hints.put(engine.state.nodeHash(), engine.state.engineKey(), request.digest(level), nowMillis);
                rates.record(request.digest(level), nowMillis);
            }
            engine.state.recordServiceMillis(run.endMillis()
                    - run.firstTokenMillis()
                    - nowMillis
                    + run.computedTokens() * 1_000.0 / SimulatedEngine.PREFILL_TOKENS_PER_SECOND);
            engine.state.recordLatencyFactor(run.firstTokenMillis() / expectedMillis, nowMillis);
        }

        @Override
        public void reported(RoutingSimulation simulation, long nowMillis) {
            if (probation) {
                var unused = StragglerProbation.update(
                        simulation.engines.stream().map(engine -> engine.state).toList(), nowMillis);
            }
        }
    }
}
