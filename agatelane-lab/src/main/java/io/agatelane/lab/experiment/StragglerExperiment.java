package io.agatelane.lab.experiment;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.lab.engine.EngineSettings;
import io.agatelane.lab.load.Workload;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Measures tail latency while one of 8 engines is 10 times slower in bursts of 5 s and load reports arrive 2 s late.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The bursts are not awaited.
final class StragglerExperiment implements Experiment.Body {
    private static final int ENGINES = 8;
    private static final double REQUESTS_PER_SECOND = 60;
    private static final long REPORT_LAG_MILLIS = 2_000;
    private static final long BURST_MILLIS = 5_000;
    private static final long FIRST_BURST_MILLIS = 2_000;
    private static final double SLOWDOWN = 10;

    @Override
    public String run(Experiment.Inputs inputs) throws InterruptedException {
        Workload workload = Workloads.chats(inputs, "aargau.json").withRate(REQUESTS_PER_SECOND);
        EngineSettings engine = EngineSettings.of("dossier-check", "v1").withControl(REPORT_LAG_MILLIS, 2_000, true);
        RunSettings undisturbedSettings = RunSettings.of(workload, engine, ENGINES);
        ScheduledExecutorService bursts = Executors.newSingleThreadScheduledExecutor();
        Table table = new Table("placement", "straggler", "ok", "not ok", "first p50 ms", "p99 ms", "p99 ratio");
        try {
            for (Strategy strategy : Strategy.values()) {
                ExperimentOutcome undisturbed = ExperimentRunner.measure(strategy, undisturbedSettings);
                ExperimentOutcome disturbed = ExperimentRunner.measure(
                        strategy, undisturbedSettings.withDisturbance(fleet -> startBursts(bursts, fleet)));
                addRow(table, strategy, "no", undisturbed, 1.0);
                addRow(
                        table,
                        strategy,
                        "yes",
                        disturbed,
                        firstTokenP99Millis(disturbed) / firstTokenP99Millis(undisturbed));
            }
        } finally {
            bursts.shutdownNow();
        }
        return table.toString();
    }

    private static void startBursts(ScheduledExecutorService bursts, Fleet fleet) {
        long periodMillis = 2 * BURST_MILLIS;
        bursts.scheduleAtFixedRate(
                () -> setSlowdown(fleet, SLOWDOWN), FIRST_BURST_MILLIS, periodMillis, TimeUnit.MILLISECONDS);
        bursts.scheduleAtFixedRate(
                () -> setSlowdown(fleet, 1), FIRST_BURST_MILLIS + BURST_MILLIS, periodMillis, TimeUnit.MILLISECONDS);
    }

    private static void setSlowdown(Fleet fleet, double factor) {
        ObjectNode change = JsonNodeFactory.instance.objectNode().put("straggleFactor", factor);
        fleet.engines().get(0).applyFaults(change);
    }

    private static void addRow(
            Table table, Strategy strategy, String straggler, ExperimentOutcome outcome, double ratio) {
        var stats = outcome.report().statsOf("dossier-check");
        table.row(
                strategy.title(),
                straggler,
                outcome.succeeded(),
                outcome.refused() + outcome.report().failedCount(),
                stats.firstTokenMillis(50),
                stats.firstTokenMillis(99),
                ratio);
    }

    private static double firstTokenP99Millis(ExperimentOutcome outcome) {
        return outcome.report().statsOf("dossier-check").firstTokenMillis(99);
    }
}
