package io.agatelane.lab.experiment;

import io.agatelane.lab.engine.EngineSettings;
import io.agatelane.lab.http.LabClient;
import io.agatelane.lab.load.Arrival;
import io.agatelane.lab.load.ArrivalPlan;
import io.agatelane.lab.load.Workload;
import io.agatelane.lab.load.WorkloadClass;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Measures what a router adds to a direct connection: in the time to first token at a moderate rate, and in the highest
 * rate.
 */
final class OverheadExperiment implements Experiment.Body {
    private static final int ENGINES = 4;
    private static final double REQUESTS_PER_SECOND = 200;
    private static final int CONCURRENCY = 32;
    private static final long CLOSED_LOOP_MILLIS = 3_000;
    private static final int PROMPT_TOKENS = 300;

    @Override
    public String run(Experiment.Inputs inputs) throws InterruptedException {
        WorkloadClass single = new WorkloadClass("single", "chat", "dossier-check", 1, List.of(), PROMPT_TOKENS, 1);
        Workload workload = new Workload(
                "overhead", inputs.seed(), inputs.durationMillis(), REQUESTS_PER_SECOND, 0, List.of(), List.of(single));
        // Engines without noticeable service time leave only the cost of the path from client to engine.
        EngineSettings engine =
                EngineSettings.of("dossier-check", "v1").withRates(1e8, 0.1).withSlots(256);
        RunSettings settings = RunSettings.of(workload, engine, ENGINES);
        Table table = new Table("path", "ok", "not ok", "first p50 ms", "p99 ms", "closed loop requests/s");
        for (Strategy strategy : List.of(Strategy.ROUND_ROBIN, Strategy.ROUTER)) {
            // The first closed loop only warms up the JIT compiler.
            measureClosedLoop(strategy, settings);
            double highestRate = measureClosedLoop(strategy, settings);
            ExperimentOutcome outcome = ExperimentRunner.measure(strategy, settings);
            var stats = outcome.report().statsOf("single");
            table.row(
                    strategy == Strategy.ROUTER ? "through a router" : "direct",
                    outcome.succeeded(),
                    outcome.refused() + outcome.report().failedCount(),
                    stats.firstTokenMillis(50),
                    stats.firstTokenMillis(99),
                    highestRate);
        }
        return table.toString();
    }

    private static double measureClosedLoop(Strategy strategy, RunSettings settings) throws InterruptedException {
        List<Arrival> plan = ArrivalPlan.of(settings.workload(), settings.accounts());
        try (Fleet fleet = Fleet.start(settings.engine(), settings.engines());
                Strategy.Placement placement = strategy.start(fleet, settings);
                LabClient client = new LabClient()) {
            ClosedLoop loop = new ClosedLoop(client, placement, plan);
            return loop.run();
        }
    }

    /** Keeps a fixed number of requests in flight: sends the next one as soon as an earlier one has ended. */
    private static final class ClosedLoop {
        private final LabClient client;
        private final Strategy.Placement placement;
        private final List<Arrival> plan;
        private final AtomicInteger nextIndex = new AtomicInteger();
        private final AtomicInteger succeeded = new AtomicInteger();
        private final CountDownLatch openLoops = new CountDownLatch(CONCURRENCY);
        private long endNanos;

        private ClosedLoop(LabClient client, Strategy.Placement placement, List<Arrival> plan) {
            this.client = client;
            this.placement = placement;
            this.plan = plan;
        }

        private double run() throws InterruptedException {
            long startNanos = System.nanoTime();
            endNanos = startNanos + CLOSED_LOOP_MILLIS * 1_000_000;
            for (int i = 0; i < CONCURRENCY; i++) {
                sendNext();
            }
            openLoops.await();
            return succeeded.get() * 1e9 / (System.nanoTime() - startNanos);
        }

        private void sendNext() {
            if (System.nanoTime() > endNanos) {
                openLoops.countDown();
                return;
            }
            int index = nextIndex.getAndIncrement();
            Arrival planned = plan.get(index % plan.size());
            // Each request has its own id, because an engine replaces a request when another with the same id arrives.
            Arrival arrival = new Arrival(
                    index, 0, planned.workloadClass(), planned.account(), planned.texts(), "closed-" + index);
            var body = arrival.body();
            var call = placement.target().prepareCall(arrival, body);
            Map<String, String> headers = call.headers();
            var unused = client.call(HttpMethod.POST, call.url(), body, headers, 10_000)
                    .handle((response, failure) -> {
                        if (failure == null && response.status() == 200) {
                            succeeded.incrementAndGet();
                        }
                        sendNext();
                        return null;
                    });
        }
    }
}
