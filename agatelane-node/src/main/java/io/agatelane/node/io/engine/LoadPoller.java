package io.agatelane.node.io.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.hash.Rendezvous;
import io.agatelane.core.routing.LoadReport;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.util.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Polls the load reports of engines. Runs outside the control thread, which only applies the results. */
final class LoadPoller {
    private static final EventLog LOG = EventLog.of(LoadPoller.class);
    private static final int PERIOD_MILLIS = 250;
    private static final int TIMEOUT_MILLIS = 1_000;
    // Bounds the polls of one router: up to 100 engines are polled in each period, larger fleets in turns.
    private static final int POLLS_PER_PERIOD = 100;
    // One lost poll is common on lossy links; two in a row make the router treat the engine as unreachable.
    private static final int MAX_FAILED_POLLS = 2;
    // An engine that loads other weights refuses requests until they are loaded.
    private static final Set<String> NOT_ACCEPTING_ROLES = Set.of("draining", "loading");
    private static final int OK = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final NodeContext context;
    private final EngineTable table;
    private final EngineClient client;
    private final GossipLink gossip;
    private int nextIndex;

    LoadPoller(TrafficContext traffic) {
        this.context = traffic.context();
        this.table = traffic.table();
        this.client = traffic.client();
        this.gossip = traffic.gossip();
        // Routers start at different engines, so that together they cover a large fleet sooner; gossip shares the
        // results.
        this.nextIndex = (int) (Rendezvous.hash(context.settings().vmName()) & Short.MAX_VALUE);
    }

    void start(ScheduledExecutorService executor) {
        var unused = executor.scheduleWithFixedDelay(
                this::pollNextSafely, PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Polls every engine once; completes when all have responded or failed. */
    CompletableFuture<Void> pollAll() {
        return CompletableFuture.allOf(
                table.engines().values().stream().map(this::poll).toArray(CompletableFuture[]::new));
    }

    /** Reads the incarnation in a load report; empty when the text is not a report. */
    static String incarnation(String body) {
        try {
            return MAPPER.readTree(body).path("incarnation").asText("");
        } catch (JsonProcessingException e) {
            return "";
        }
    }

    private void pollNextSafely() {
        try {
            pollNext();
        } catch (RuntimeException | Error e) {
            LOG.event("load_poll_failed").error(e);
        }
    }

    private void pollNext() {
        List<Engine> engines = new ArrayList<>(table.engines().values());
        int count = Math.min(POLLS_PER_PERIOD, engines.size());
        for (int i = 0; i < count; i++) {
            nextIndex = (nextIndex + 1) % engines.size();
            var unused = poll(engines.get(nextIndex));
        }
    }

    private CompletableFuture<Void> poll(Engine engine) {
        if (!engine.tryBeginPoll()) {
            return CompletableFuture.completedFuture(null);
        }
        long startNanos = System.nanoTime();
        return client.get(engine.baseUrl(), "/load", TIMEOUT_MILLIS)
                .thenApply(response -> parse(engine, response))
                .handle((report, failure) -> {
                    engine.endPoll();
                    double roundTripMillis = (System.nanoTime() - startNanos) / 1e6;
                    if (failure == null) {
                        context.control().execute(() -> apply(engine, report, roundTripMillis));
                    } else {
                        recordFailure(engine, failure);
                    }
                    return null;
                });
    }

    private void apply(Engine engine, LoadReport report, double roundTripMillis) {
        table.applyReport(engine, report, roundTripMillis);
        gossip.publishReport(engine);
    }

    private void recordFailure(Engine engine, Throwable failure) {
        int count = engine.failedPolls() + 1;
        engine.setFailedPolls(count);
        if (count >= MAX_FAILED_POLLS) {
            table.markUnreachable(engine, AgatelaneException.from(failure).getMessage());
        }
    }

    private LoadReport parse(Engine engine, EngineClient.SmallResponse response) {
        if (response.status() != OK) {
            throw new AgatelaneException(FailureType.UPSTREAM_FAILED, "GET /load returned " + response.status())
                    .withLocation(engine.name());
        }
        try {
            JsonNode node = MAPPER.readTree(response.body());
            long ageMillis = Math.max(0, node.path("age_millis").asLong(0));
            return new LoadReport(
                    node.path("incarnation").asText(),
                    node.path("model").asText(),
                    node.path("weights_version").asText(),
                    NOT_ACCEPTING_ROLES.contains(node.path("role").asText("")),
                    node.path("slots").asInt(engine.upstream().slots()),
                    node.path("running").asInt(),
                    node.path("waiting").asInt(),
                    node.path("prefill_tokens_per_second").asDouble(),
                    node.path("token_millis").asDouble(),
                    context.timers().monotonicMillis() - ageMillis);
        } catch (JsonProcessingException e) {
            throw new AgatelaneException(FailureType.UPSTREAM_FAILED, "GET /load returned no JSON", e)
                    .withLocation(engine.name());
        }
    }
}
