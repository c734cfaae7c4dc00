package io.agatelane.lab.experiment;

import io.agatelane.lab.engine.EngineSettings;
import io.agatelane.lab.load.Workload;

/** Compares hit rate and recomputed tokens of nested prefixes with those of an oracle that reads every cache. */
final class PrefixExperiment implements Experiment.Body {
    private static final int ENGINES = 8;
    private static final double REQUESTS_PER_SECOND = 60;
    // Each engine holds about a sixth of the workload's blocks, so that placement decides the hit rate.
    private static final int CACHE_BLOCKS = 300;

    @Override
    public String run(Experiment.Inputs inputs) throws InterruptedException {
        Workload workload = Workloads.chats(inputs, "aargau.json").withRate(REQUESTS_PER_SECOND);
        EngineSettings engine = EngineSettings.of("dossier-check", "v1").withCacheBlocks(CACHE_BLOCKS);
        RunSettings settings = RunSettings.of(workload, engine, ENGINES);
        ExperimentOutcome oracle = ExperimentRunner.measure(Strategy.ORACLE, settings);
        Table table = new Table(
                "placement",
                "ok",
                "refused",
                "failed",
                "hit rate",
                "of oracle",
                "computed tokens",
                "of oracle",
                "recomputed",
                "first p99 ms");
        for (Strategy strategy : Strategy.values()) {
            ExperimentOutcome outcome =
                    strategy == Strategy.ORACLE ? oracle : ExperimentRunner.measure(strategy, settings);
            table.row(
                    strategy.title(),
                    outcome.succeeded(),
                    outcome.refused(),
                    outcome.report().failedCount(),
                    outcome.hitRate(),
                    outcome.hitRate() / oracle.hitRate(),
                    outcome.computedTokens(),
                    (double) outcome.computedTokens() / oracle.computedTokens(),
                    outcome.recomputedTokens(),
                    outcome.report().statsOf("dossier-check").firstTokenMillis(99));
        }
        return table.toString();
    }
}
