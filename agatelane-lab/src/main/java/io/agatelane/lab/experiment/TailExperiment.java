package io.agatelane.lab.experiment;

import io.agatelane.lab.engine.EngineSettings;
import io.agatelane.lab.load.Workload;

/** Measures tail latencies of the first token at 80% of the engines' capacity. */
final class TailExperiment implements Experiment.Body {
    private static final int ENGINES = 8;
    private static final double LOAD_FRACTION = 0.8;
    private static final double OVERLOAD_REQUESTS_PER_SECOND = 250;

    @Override
    public String run(Experiment.Inputs inputs) throws InterruptedException {
        Workload overloadWorkload = Workloads.chats(inputs, "aargau.json").withRate(OVERLOAD_REQUESTS_PER_SECOND);
        // Slow engines keep the request rate low enough to run everything on one shared machine.
        EngineSettings engine = EngineSettings.of("dossier-check", "v1").withRates(20_000, 8);
        double capacity = ExperimentRunner.measureCapacity(RunSettings.of(overloadWorkload, engine, ENGINES));
        RunSettings settings = RunSettings.of(overloadWorkload.withRate(LOAD_FRACTION * capacity), engine, ENGINES);
        Table table = new Table(
                "placement", "requests/s", "ok", "refused", "failed", "first p50 ms", "p95 ms", "p99 ms", "hit rate");
        for (Strategy strategy : Strategy.values()) {
            ExperimentOutcome outcome = ExperimentRunner.measure(strategy, settings);
            var stats = outcome.report().statsOf("dossier-check");
            table.row(
                    strategy.title(),
                    LOAD_FRACTION * capacity,
                    outcome.succeeded(),
                    outcome.refused(),
                    outcome.report().failedCount(),
                    stats.firstTokenMillis(50),
                    stats.firstTokenMillis(95),
                    stats.firstTokenMillis(99),
                    outcome.hitRate());
        }
        return table.toString();
    }
}
