package io.agatelane.node.io.engine;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.model.ClientAccount;
import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.routing.Decision;
import io.agatelane.core.routing.LoadReport;
import io.agatelane.core.routing.UpstreamState;
import io.agatelane.core.routing.query.ChoiceConstraints;
import io.agatelane.node.api.ConfigView;
import io.agatelane.node.api.Drainable;
import io.agatelane.node.api.GossipHintExchange;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.RoutingInspector;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.io.http.Authenticator;
import io.agatelane.node.util.EventLog;
import io.agatelane.wire.operator.CandidateScore;
import io.agatelane.wire.operator.ExplainRequest;
import io.agatelane.wire.operator.ExplainResponse;
import io.agatelane.wire.operator.UpstreamStatus;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.server.Handler;

/** Serves the model traffic of a router: accepts chat completions and routes them to engines. */
public final class EngineTraffic implements Drainable, RoutingInspector, AutoCloseable {
    private static final EventLog LOG = EventLog.of(EngineTraffic.class);
    private static final int TICK_PERIOD_MILLIS = 20;
    private static final int PROBATION_PERIOD_MILLIS = 250;
    // A starting router waits this long for the first load reports before it accepts requests.
    private static final int FIRST_REPORTS_TIMEOUT_MILLIS = 300;

    private final TrafficContext traffic;
    private final ConfigView config;
    private final LoadPoller poller;
    private final CallGate gate = new CallGate();
    private final ChatHandler handler;
    private Subscription configSubscription = () -> {};
    private Subscription probationSubscription = () -> {};

    public EngineTraffic(
            NodeContext context, ConfigView config, GossipHintExchange hintExchange, Authenticator authenticator) {
        this.traffic = new TrafficContext(context, hintExchange);
        this.config = config;
        this.poller = new LoadPoller(traffic);
        this.handler = new ChatHandler(traffic, config, authenticator, gate);
    }

    /** Starts the load polls and waits a short time for the first reports. */
    public void start() {
        traffic.client().start();
        traffic.table().applyConfig(config.current());
        configSubscription = config.onChange(traffic.table()::applyConfig);
        traffic.gossip().start();
        probationSubscription =
                traffic.context().timers().every("probation-review", PROBATION_PERIOD_MILLIS, this::updateProbations);
        var unused = traffic.timer()
                .scheduleWithFixedDelay(this::tick, TICK_PERIOD_MILLIS, TICK_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        CompletableFuture<Void> firstReports = poller.pollAll();
        poller.start(traffic.timer());
        new EngineCacheEvents(traffic).start();
        try {
            firstReports.get(FIRST_REPORTS_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            LOG.event("first_reports_late").warning();
        } catch (ExecutionException e) {
            LOG.event("first_reports_failed").error(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The handler of {@code /v1/chat/completions} and {@code /v1/models}. */
    public Handler handler() {
        return handler;
    }

    @Override
    public void refuseNewRequests() {
        gate.refuseNew();
    }

    @Override
    public CompletableFuture<Void> drained() {
        return gate.drained();
    }

    @Override
    public List<UpstreamStatus> upstreams() {
        long nowMillis = traffic.nowMillis();
        return traffic.table().engines().values().stream()
                .map(engine -> status(engine, nowMillis))
                .toList();
    }

    @Override
    public ExplainResponse explain(ExplainRequest explainRequest) {
        ConfigSnapshot snapshot = config.current();
        ClientAccount account = snapshot.account(explainRequest.getClientAccount())
                .orElseThrow(() -> new AgatelaneException(
                        FailureType.NOT_FOUND,
                        "the client account " + explainRequest.getClientAccount() + " is unknown"));
        byte[] body = explainRequest.getBody().getBytes(StandardCharsets.UTF_8);
        ChatRequest request = ChatRequest.parse(body, account, snapshot, traffic.table());
        ChoiceConstraints constraints = new ChoiceConstraints(request.policy(), traffic.routers(), upstream -> false);
        Decision decision = traffic.chooser()
                .choose(
                        traffic.table().fleet(request.model()),
                        traffic.profile(request),
                        constraints,
                        traffic.nowMillis());
        ExplainResponse.Builder response = ExplainResponse.newBuilder();
        if (decision.best() >= 0) {
            response.setChosenUpstream(decision.upstream(decision.best()).name());
        }
        for (int i = 0; i < decision.count(); i++) {
            response.addCandidates(CandidateScore.newBuilder()
                    .setUpstream(decision.upstream(i).name())
                    .setNetworkMillis(decision.networkMillis(i))
                    .setQueueMillis(decision.queueMillis(i))
                    .setPrefillMillis(decision.prefillMillis(i))
                    .setTotalMillis(decision.totalMillis(i))
                    .setExcludedReason(decision.exclusion(i).wireName()));
        }
        return response.build();
    }

    /** Number of requests of this router that are in flight on engines. */
    int inFlight() {
        return traffic.table().engines().values().stream()
                .mapToInt(engine -> engine.state().inFlight())
                .sum();
    }

    @Override
    public void close() {
        configSubscription.cancel();
        probationSubscription.cancel();
        traffic.close();
    }

    private void updateProbations() {
        traffic.table().updateProbations(traffic.nowMillis());
        traffic.firstTokenTimes().refresh();
    }

    private void tick() {
        long nowMillis = traffic.nowMillis();
        for (ChatCall call : traffic.calls()) {
            try {
                call.tick(nowMillis);
            } catch (RuntimeException | Error e) {
                LOG.event("call_check_failed").error(e);
            }
        }
    }

    private static UpstreamStatus status(Engine engine, long nowMillis) {
        UpstreamState state = engine.state();
        UpstreamStatus.Builder status = UpstreamStatus.newBuilder()
                .setName(engine.name())
                .setAvailabilityZone(engine.upstream().availabilityZone())
                .setState(stateName(state));
        LoadReport report = state.report();
        if (report != null) {
            status.setIncarnation(report.incarnation())
                    .setRunning(report.running())
                    .setWaiting(report.waiting())
                    .setReportAgeMillis(nowMillis - report.measuredAtMillis());
        }
        return status.build();
    }

    private static String stateName(UpstreamState state) {
        LoadReport report = state.report();
        if (!state.reachable() || report == null) {
            return "down";
        }
        if (state.isDraining() || report.draining()) {
            return "draining";
        }
        return state.probation() ? "probation" : "ready";
    }

    /** Returns the list of models in the format of the OpenAI API. */
    static String modelsJson(ConfigSnapshot snapshot) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("object", "list");
        var data = node.putArray("data");
        snapshot.models().stream().map(model -> model.name()).sorted().forEach(name -> data.addObject()
                .put("id", name)
                .put("object", "model")
                .put("created", 0)
                .put("owned_by", "agatelane"));
        return node.toString();
    }
}
