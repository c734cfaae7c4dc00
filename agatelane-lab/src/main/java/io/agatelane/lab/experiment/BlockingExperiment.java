package io.agatelane.lab.experiment;

import io.agatelane.core.model.RoutingPolicy;
import io.agatelane.lab.engine.EngineSettings;
import io.agatelane.lab.load.Workload;

/**
 * Measures how long prompts delay short ones: the time to first token of the class {@code van-question} with and
 * without concurrent requests of the class {@code full-log}.
 */
final class BlockingExperiment implements Experiment.Body {
    private static final int ENGINES = 4;
    private static final double REQUESTS_PER_SECOND = 40;
    // Separates the classes: full-log takes about 1.1 s on an idle engine, van-question about 60 ms.
    private static final int LONG_REQUEST_MILLIS = 500;

    @Override
    public String run(Experiment.Inputs inputs) throws InterruptedException {
        Workload mixed = Workloads.chats(inputs, "dakar-pikine.json").withRate(REQUESTS_PER_SECOND);
        Workload shortOnly = Workloads.without(mixed, "full-log");
        RoutingPolicy policy = new RoutingPolicy("lab", 10_000, LONG_REQUEST_MILLIS, 50, 5, 10);
        RunSettings settings = RunSettings.of(mixed, EngineSettings.of("dossier-check", "v1"), ENGINES)
                .withPolicy(policy);
        Table table = new Table(
                "placement", "full-log reads", "van ok", "not ok", "first p50 ms", "p95 ms", "p99 ms", "p99 ratio");
        for (Strategy strategy : Strategy.values()) {
            ExperimentOutcome withoutLong = ExperimentRunner.measure(strategy, settings.withWorkload(shortOnly));
            ExperimentOutcome withLong = ExperimentRunner.measure(strategy, settings);
            double withoutLongP99Millis =
                    withoutLong.report().statsOf("van-question").firstTokenMillis(99);
            addRow(table, strategy, withoutLong, 0, 1.0);
            double ratio = withLong.report().statsOf("van-question").firstTokenMillis(99) / withoutLongP99Millis;
            addRow(
                    table,
                    strategy,
                    withLong,
                    withLong.report().statsOf("full-log").sentCount(),
                    ratio);
        }
        return table.toString();
    }

    private static void addRow(
            Table table, Strategy strategy, ExperimentOutcome outcome, long fullLogCount, double ratio) {
        var stats = outcome.report().statsOf("van-question");
        table.row(
                strategy.title(),
                fullLogCount,
                stats.succeededCount(),
                outcome.refused() + outcome.report().failedCount(),
                stats.firstTokenMillis(50),
                stats.firstTokenMillis(95),
                stats.firstTokenMillis(99),
                ratio);
    }
}
