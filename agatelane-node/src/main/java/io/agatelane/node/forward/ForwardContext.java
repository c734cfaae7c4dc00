package io.agatelane.node.forward;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.fleet.FleetView;
import io.agatelane.core.fleet.Route;
import io.agatelane.core.fleet.ServiceDemand;
import io.agatelane.core.fleet.command.NormalDuration;
import io.agatelane.core.fleet.command.OutputTokens;
import io.agatelane.core.fleet.command.PeerLoads;
import io.agatelane.core.fleet.command.PrefillInterference;
import io.agatelane.core.fleet.command.PrefillSpeed;
import io.agatelane.core.fleet.command.ServiceTimes;
import io.agatelane.core.fleet.command.WindowedRetryBudget;
import io.agatelane.core.fleet.query.ShortPromptEngines;
import io.agatelane.core.fleet.query.UpstreamChooser;
import io.agatelane.core.limits.AccountDemand;
import io.agatelane.core.limits.ByteBudget;
import io.agatelane.core.limits.KeyedByteBudget;
import io.agatelane.core.limits.LimitMargin;
import io.agatelane.core.limits.command.AccountRateLimiter;
import io.agatelane.node.api.FleetPorts;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.cfg.FleetSettings;
import io.agatelane.node.cfg.HeldBytes;
import io.agatelane.node.fleet.FleetSnapshot;
import io.agatelane.node.fleet.FleetState;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.client.HttpClient;

/** State that all requests of a router share. */
public final class ForwardContext {
    // Part of the ratio that is used, so that requests which the check of the budget does not count cannot exceed it.
    private static final double USED_RETRY_RATIO_PART = 0.7;
    // Assumed before any was observed.
    private static final double ASSUMED_CALL_MILLIS = 40;
    private static final double ASSUMED_EVENT_MILLIS = 8;

    private volatile FleetSettings settings;
    private final FleetPorts ports;
    private final FleetState state;
    private final UpstreamChooser chooser;
    private final HttpClient client;
    private final TimerService timers;
    private final MetricRegistry metrics;
    private final Map<String, WindowedRetryBudget> budgets = new ConcurrentHashMap<>();
    private final Map<String, PrefillSpeed> prefillSpeeds = new ConcurrentHashMap<>();
    private final Map<String, NormalDuration> normalDurations = new ConcurrentHashMap<>();
    private final Map<String, PrefillInterference> interferences = new ConcurrentHashMap<>();
    private final Map<String, ServiceTimes> callTimes = new ConcurrentHashMap<>();
    private final Map<String, ServiceTimes> eventTimes = new ConcurrentHashMap<>();
    private final OutputTokens outputTokens = new OutputTokens();
    private final Map<String, WaitingCalls> waiting = new ConcurrentHashMap<>();
    private final Map<String, ShortPromptSelection> shortPromptSelections = new ConcurrentHashMap<>();
    private final ByteBudget responseBytes;
    private final KeyedByteBudget upstreamBytes;
    private final AccountRateLimiter accountLimiter;
    private final Map<String, ServiceAdmission> admissions = new ConcurrentHashMap<>();
    private final Map<String, EngineAdmission> engineAdmissions = new ConcurrentHashMap<>();
    private final PeerDemands peerDemands;
    private final Map<String, ServiceTimes> wholeTimes = new ConcurrentHashMap<>();
    private final Shutdown shutdown = new Shutdown();

    /** Creates the shared state of a router. */
    public ForwardContext(
            FleetSettings settings,
            FleetPorts ports,
            FleetState state,
            UpstreamChooser chooser,
            HttpClient client,
            TimerService timers,
            MetricRegistry metrics,
            HeldBytes heldBytes) {
        this.settings = settings;
        this.ports = ports;
        this.state = state;
        this.chooser = chooser;
        this.client = client;
        this.timers = timers;
        this.metrics = metrics;
        responseBytes = new ByteBudget(heldBytes.responseBytes());
        upstreamBytes = new KeyedByteBudget(heldBytes.upstreamBytes());
        metrics.gauge("response_bytes_held", () -> responseBytes::heldBytes);
        metrics.gauge("upstream_body_bytes_largest", () -> upstreamBytes::largestHeldBytes);
        this.peerDemands = new PeerDemands(state);
        this.accountLimiter =
                new AccountRateLimiter(new KnownFleet(), RandomGenerator.getDefault(), timers.monotonicMillis());
    }

    private final class KnownFleet implements AccountRateLimiter.Fleet {
        @Override
        public Map<Long, AccountDemand> others(long nowMillis) {
            return state.peerAccounts().sums(EnumSet.allOf(PeerLoads.Source.class), Map.of(), nowMillis);
        }

        @Override
        public int registeredRouters() {
            return state.routerCount();
        }

        @Override
        public LimitMargin margin() {
            return new LimitMargin(settings.limitWindowMillis(), settings.limitTolerance(), settings.limitSlack());
        }
    }

    /** Applies changed settings to requests that come from now on. */
    public void apply(FleetSettings changed) {
        settings = changed;
        budgets.clear();
    }

    /** The settings in force, whose limits can change. */
    public FleetSettings settings() {
        return settings;
    }

    FleetPorts ports() {
        return ports;
    }

    FleetState state() {
        return state;
    }

    UpstreamChooser chooser() {
        return chooser;
    }

    /** The client that sends requests to upstreams. */
    public HttpClient client() {
        return client;
    }

    TimerService timers() {
        return timers;
    }

    MetricRegistry metrics() {
        return metrics;
    }

    /** Bytes of responses that have been read from upstreams and that callers have not taken yet. */
    ByteBudget responseBytes() {
        return responseBytes;
    }

    /** Bytes of the bodies of unfinished requests, by upstream. */
    KeyedByteBudget upstreamBytes() {
        return upstreamBytes;
    }

    /** Rate limits of client accounts. */
    public AccountRateLimiter accountLimiter() {
        return accountLimiter;
    }

    /** Ids of the engines of a service that long prompts use last. */
    Set<String> shortPromptEngines(FleetSnapshot snapshot, String service) {
        ShortPromptSelection known = shortPromptSelections.get(service);
        if (known == null || known.view() != snapshot.view()) {
            known = new ShortPromptSelection(snapshot.view(), ShortPromptEngines.of(snapshot.usable(service)));
            shortPromptSelections.put(service, known);
        }
        return known.engineIds();
    }

    // Selected once for each read of the store, not for each request.
    private record ShortPromptSelection(FleetView view, Set<String> engineIds) {}

    /** Takes one retry to a service from its budget; false when the budget is used up. */
    boolean tryTakeRetry(String service, long nowMillis) {
        return budget(service).tryTake(nowMillis, state.routerCount());
    }

    /** Calls of a service that wait for room at an engine. */
    WaitingCalls waiting(String service) {
        return waiting.computeIfAbsent(service, name -> new WaitingCalls(timers, client.getExecutor()));
    }

    /** This router's part of the slots of a service without engines. */
    ServiceAdmission admission(String service) {
        return admissions.computeIfAbsent(
                service, name -> new ServiceAdmission(name, this, RandomGenerator.getDefault()));
    }

    /** The part of a service without engines that has had calls; empty for other services. */
    Optional<ServiceAdmission> admissionOfCalls(String service) {
        return Optional.ofNullable(admissions.get(service));
    }

    /** Fair shares of a service of engines. */
    EngineAdmission engineAdmission(String service) {
        return engineAdmissions.computeIfAbsent(
                service, name -> new EngineAdmission(name, this, RandomGenerator.getDefault()));
    }

    PeerDemands peerDemands() {
        return peerDemands;
    }

    /** Demand for services that this router reports to the others. */
    public List<ServiceDemand> serviceDemands(long nowMillis) {
        List<ServiceDemand> demands = new ArrayList<>();
        demands.add(ServiceDemand.oneRouter());
        admissions.values().forEach(admission -> demands.addAll(admission.demands(nowMillis)));
        engineAdmissions.values().forEach(admission -> demands.addAll(admission.demands(nowMillis)));
        return demands;
    }

    /** Speed at which the engines of a service prefill prompts. */
    PrefillSpeed prefillSpeed(String service) {
        return prefillSpeeds.computeIfAbsent(service, name -> new PrefillSpeed(settings.prefillTokensPerMilli()));
    }

    /** Observed by expected time to the response, for the requests of a route to the upstreams of a zone. */
    NormalDuration normalDuration(Route route, String upstreamZone) {
        return normalDurations.computeIfAbsent(route.name() + '/' + upstreamZone, key -> new NormalDuration());
    }

    /** Delay that prompts of a service cause to more urgent ones. */
    PrefillInterference interference(String service) {
        return interferences.computeIfAbsent(service, name -> new PrefillInterference());
    }

    /** Time that calls without a prompt take at the upstreams of a service. */
    ServiceTimes callTimes(String service) {
        return callTimes.computeIfAbsent(service, name -> new ServiceTimes(ASSUMED_CALL_MILLIS));
    }

    /** Time between two events of a stream of a service. */
    ServiceTimes eventTimes(String service) {
        return eventTimes.computeIfAbsent(service, name -> new ServiceTimes(ASSUMED_EVENT_MILLIS));
    }

    /** Time from sending a request of a route to an upstream until its response has ended. */
    ServiceTimes wholeTimes(Route route) {
        return wholeTimes.computeIfAbsent(route.name(), name -> new ServiceTimes(ASSUMED_CALL_MILLIS));
    }

    /** Expected length of outputs. */
    OutputTokens outputTokens() {
        return outputTokens;
    }

    /** Budget of retries to a service. */
    WindowedRetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service,
                name -> new WindowedRetryBudget(
                        settings.retryRatio() * USED_RETRY_RATIO_PART,
                        settings.retrySlack(),
                        settings.retryWindowMillis()));
    }

    /** The stop of this router. */
    public Shutdown shutdown() {
        return shutdown;
    }
}
