package io.agatelane.lab.experiment;

import io.agatelane.core.hash.PromptDigester;
import io.agatelane.core.hash.PromptDigests;
import io.agatelane.lab.http.LabClient;
import io.agatelane.lab.load.Arrival;
import io.agatelane.lab.load.ArrivalPlan;
import io.agatelane.lab.load.LoadRunner;
import io.agatelane.lab.load.WorkloadReport;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Runs arrival plans against newly started engines. */
final class ExperimentRunner {
    private static final int TOKENS_PER_BLOCK = PromptDigester.BLOCK_BYTES / PromptDigester.BYTES_PER_TOKEN;
    // Long enough for the JIT compiler to compile the hot paths before the measured run.
    private static final long WARM_UP_MILLIS = 2_000;
    private static final long WARM_UP_SEED = 99;

    private ExperimentRunner() {}

    /** Runs the plan of the settings once after a warm-up with another seed and other engines. */
    static ExperimentOutcome measure(Strategy strategy, RunSettings settings) throws InterruptedException {
        RunSettings warmUp = settings.withWorkload(
                        settings.workload().withDuration(WARM_UP_MILLIS).withSeed(WARM_UP_SEED))
                .withDisturbance(fleet -> {});
        runOnce(strategy, warmUp);
        return runOnce(strategy, settings);
    }

    private static ExperimentOutcome runOnce(Strategy strategy, RunSettings settings) throws InterruptedException {
        List<Arrival> plan = ArrivalPlan.of(settings.workload(), settings.accounts());
        try (Fleet fleet = Fleet.start(settings.engine(), settings.engines());
                Strategy.Placement placement = strategy.start(fleet, settings);
                LabClient client = new LabClient()) {
            String weightsVersion = settings.engine().weightsVersion();
            LoadRunner runner = new LoadRunner(client, settings.workload(), weightsVersion, placement.target());
            settings.disturbance().accept(fleet);
            WorkloadReport report = runner.run(plan);
            long computedTokens = fleet.total("promptTokens") - fleet.total("cachedTokens");
            long recomputedTokens = fleet.total("computedBlockTokens") - uniqueBlockTokens(plan);
            return new ExperimentOutcome(
                    report, fleet.hitRate(), computedTokens, recomputedTokens, fleet.total("requests"));
        }
    }

    /**
     * Returns the number of tokens in the distinct blocks of a plan, each of which has to be computed at least once.
     */
    static long uniqueBlockTokens(List<Arrival> plan) {
        Set<Long> unique = new HashSet<>();
        for (Arrival arrival : plan) {
            PromptDigests digests = digestsOf(arrival);
            for (int i = 0; i < digests.blockCount(); i++) {
                unique.add(digests.digest(i));
            }
        }
        return (long) unique.size() * TOKENS_PER_BLOCK;
    }

    /**
     * Measures how many requests per second the engines serve when the oracle sends them more than they can process.
     * An estimate from the number of distinct blocks is too high, because no placement avoids all recomputation.
     */
    static double measureCapacity(RunSettings overload) throws InterruptedException {
        WorkloadReport report = measure(Strategy.ORACLE, overload).report();
        long succeeded = report.classes().values().stream()
                .mapToLong(stats -> stats.succeededCount())
                .sum();
        return succeeded * 1_000 / report.lastResponseEndMillis();
    }

    private static PromptDigests digestsOf(Arrival arrival) {
        PromptDigester digester = new PromptDigester("account-" + arrival.account());
        arrival.addMessagesTo(digester);
        return digester.build();
    }
}
