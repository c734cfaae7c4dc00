package io.agatelane.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import io.agatelane.lab.http.LabClient;
import io.agatelane.lab.load.Arrival;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Naive baseline: chooses the engine with the least reported load and breaks ties at random. */
@SuppressWarnings("FutureReturnValueIgnored") // A report that fails leaves the earlier one in place.
final class LeastLoadTarget extends EngineTarget {
    // Equal to the period at which the router polls its engines.
    private static final long POLL_MILLIS = 250;

    private final LabClient client = new LabClient();
    private final ScheduledExecutorService poller = Executors.newSingleThreadScheduledExecutor();
    private final AtomicIntegerArray reportedRequests;
    private final UniformRandomProvider random;

    LeastLoadTarget(Fleet fleet, long seed) {
        super(fleet);
        reportedRequests = new AtomicIntegerArray(fleet.engines().size());
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        poller.scheduleAtFixedRate(this::poll, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    int chooseEngine(Arrival arrival, String salt) {
        int best = -1;
        int ties = 0;
        for (int i = 0; i < reportedRequests.length(); i++) {
            int difference = best < 0 ? -1 : Integer.compare(reportedRequests.get(i), reportedRequests.get(best));
            if (difference < 0) {
                best = i;
                ties = 1;
            } else if (difference == 0 && random.nextInt(++ties) == 0) {
                best = i;
            }
        }
        return best;
    }

    @Override
    public void close() {
        poller.shutdownNow();
        client.close();
    }

    private void poll() {
        for (int i = 0; i < reportedRequests.length(); i++) {
            int index = i;
            client.get(fleet().engines().get(i).url() + "/load").thenAccept(report -> recordReport(index, report));
        }
    }

    private void recordReport(int index, JsonNode report) {
        reportedRequests.set(
                index, report.path("running").asInt() + report.path("waiting").asInt());
    }
}
