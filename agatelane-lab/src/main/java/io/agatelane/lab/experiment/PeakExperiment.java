package io.agatelane.lab.experiment;

import io.agatelane.core.model.RoutingPolicy;
import io.agatelane.lab.engine.EngineSettings;
import io.agatelane.lab.load.RateStep;
import io.agatelane.lab.load.Workload;
import java.util.List;
import java.util.stream.IntStream;

/** Measures how each strategy serves a peak load of 2 times the capacity for 10 s. */
final class PeakExperiment implements Experiment.Body {
    private static final int ENGINES = 4;
    private static final long BEFORE_PEAK_MILLIS = 2_000;
    private static final long PEAK_MILLIS = 10_000;
    private static final int DEADLINE_MILLIS = 1_000;
    private static final double OVERLOAD_REQUESTS_PER_SECOND = 150;

    @Override
    public String run(Experiment.Inputs inputs) throws InterruptedException {
        long durationMillis = BEFORE_PEAK_MILLIS + PEAK_MILLIS;
        EngineSettings engine = EngineSettings.of("dossier-check", "v1").withRates(20_000, 10);
        Workload overloadWorkload = Workloads.chats(inputs, "aargau.json")
                .withRate(OVERLOAD_REQUESTS_PER_SECOND)
                .withDuration(durationMillis);
        double capacity = ExperimentRunner.measureCapacity(RunSettings.of(overloadWorkload, engine, ENGINES));
        RateStep peak = new RateStep(BEFORE_PEAK_MILLIS, durationMillis, 4);
        Workload workload = overloadWorkload.withRate(capacity / 2).withRateSteps(List.of(peak));
        RunSettings settings = RunSettings.of(workload, engine, ENGINES)
                .withPolicy(new RoutingPolicy("lab", DEADLINE_MILLIS, 4_000, 50, 5, 10));
        // Half of the capacity is requested before the peak and more than all of it during the peak.
        double servableRequests = capacity / 2 * BEFORE_PEAK_MILLIS / 1_000 + capacity * PEAK_MILLIS / 1_000;
        Table table = new Table(
                "placement",
                "ok",
                "in time",
                "of capacity",
                "refused",
                "failed",
                "refusal p99 ms",
                "attempts per ok",
                "least account share");
        for (Strategy strategy : Strategy.values()) {
            ExperimentOutcome outcome = ExperimentRunner.measure(strategy, settings);
            long inTime = outcome.report().classes().values().stream()
                    .mapToLong(stats -> stats.succeededWithin(DEADLINE_MILLIS))
                    .sum();
            double refusalMillis = outcome.report().classes().values().stream()
                    .mapToDouble(stats -> stats.refusalMillis(99))
                    .max()
                    .orElse(0);
            table.row(
                    strategy.title(),
                    outcome.succeeded(),
                    inTime,
                    inTime / servableRequests,
                    outcome.refused(),
                    outcome.report().failedCount(),
                    refusalMillis,
                    (double) outcome.attempts() / Math.max(1, outcome.succeeded()),
                    lowestAccountShare(outcome, settings.accounts()));
        }
        return "capacity " + Math.round(capacity) + " requests/s, deadline " + DEADLINE_MILLIS + " ms"
                + System.lineSeparator() + table;
    }

    // Successful requests of the client account with the fewest, divided by an equal share of all successful requests.
    private static double lowestAccountShare(ExperimentOutcome outcome, int accounts) {
        int fewest = IntStream.range(0, accounts)
                .map(account -> outcome.report().succeededByAccount().getOrDefault(account, 0))
                .min()
                .orElse(0);
        return (double) fewest * accounts / Math.max(1, outcome.succeeded());
    }
}
