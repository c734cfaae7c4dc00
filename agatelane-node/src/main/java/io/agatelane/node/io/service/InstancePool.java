package io.agatelane.node.io.service;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.model.Upstream;
import io.agatelane.node.api.ConfigView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.util.EventLog;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Polls the load reports of plain services and chooses the least loaded instance for a call. */
final class InstancePool {
    private static final EventLog LOG = EventLog.of(InstancePool.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long REPORT_PERIOD_MILLIS = 1_000;
    private static final int REPORT_TIMEOUT_MILLIS = 900;
    private static final int OK = 200;

    private final NodeContext context;
    private final ConfigView config;
    private final ServiceClient client;
    private final Map<String, ServiceInstance> instances = new ConcurrentHashMap<>();
    private final AtomicInteger rotation = new AtomicInteger();
    private Subscription timer = () -> {};

    InstancePool(NodeContext context, ConfigView config, ServiceClient client) {
        this.context = context;
        this.config = config;
        this.client = client;
    }

    void start() {
        timer = context.timers().every("service-load", REPORT_PERIOD_MILLIS, this::pollReports);
        context.control().execute(this::pollReports);
    }

    void stop() {
        timer.cancel();
    }

    /**
     * Chooses the instance for a call.
     *
     * @param excluded names of instances that were tried already
     * @return empty when every instance is draining or excluded
     */
    Optional<ServiceInstance> choose(String service, Set<String> excluded) {
        ServiceInstance best = null;
        double bestScore = Double.MAX_VALUE;
        List<Upstream> upstreams = config.current().upstreamsOfService(service);
        int firstIndex = upstreams.isEmpty() ? 0 : Math.floorMod(rotation.getAndIncrement(), upstreams.size());
        for (int i = 0; i < upstreams.size(); i++) {
            Upstream upstream = upstreams.get((firstIndex + i) % upstreams.size());
            ServiceInstance instance = instance(upstream);
            if (upstream.draining() || instance.isDraining() || excluded.contains(upstream.name())) {
                continue;
            }
            double score = (instance.estimatedCalls() + 1) / Math.max(1, upstream.slots());
            // A dead instance may be alive with only its load reports failing, so it is chosen when there is no other.
            score = instance.isDead() ? score + Integer.MAX_VALUE : score;
            if (score < bestScore) {
                best = instance;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private ServiceInstance instance(Upstream upstream) {
        return instances.compute(
                upstream.name(),
                (name, existing) -> existing != null && existing.baseUrl.equals(upstream.baseUrl())
                        ? existing
                        : new ServiceInstance(name, upstream.baseUrl()));
    }

    private void pollReports() {
        ConfigSnapshot snapshot = config.current();
        Set<String> names = new HashSet<>();
        for (Upstream upstream : snapshot.upstreams()) {
            if (!upstream.isEngine()) {
                names.add(upstream.name());
                pollReport(instance(upstream));
            }
        }
        instances.keySet().retainAll(names);
    }

    private void pollReport(ServiceInstance instance) {
        int outstandingCalls = instance.outstandingCalls.get();
        CompletableFuture<ServiceResponse> load =
                client.get(instance.baseUrl, "/load", Map.of(), REPORT_TIMEOUT_MILLIS);
        Completion.then(load, (response, failure) -> {
            boolean wasDead = instance.isDead();
            if (failure != null) {
                instance.recordReportFailure();
            } else {
                recordReport(instance, response, outstandingCalls);
            }
            if (wasDead != instance.isDead()) {
                LOG.event("service_instance_changed")
                        .with("upstream", instance.name)
                        .with("dead", instance.isDead())
                        .info();
            }
        });
    }

    // An instance that responds without a readable report still counts as alive.
    private static void recordReport(ServiceInstance instance, ServiceResponse response, int outstandingCalls) {
        JsonNode report = MAPPER.missingNode();
        if (response.status() == OK) {
            try {
                report = MAPPER.readTree(new String(response.body(), StandardCharsets.UTF_8));
            } catch (JsonProcessingException e) {
                LOG.event("load_report_malformed")
                        .with("upstream", instance.name)
                        .warning();
            }
        }
        boolean draining = "draining".equals(report.path("role").asText());
        int running = report.path("running").asInt(0);
        int waiting = report.path("waiting").asInt(0);
        instance.recordReport(running, waiting, report.isMissingNode() ? 0 : outstandingCalls, draining);
    }
}
