package io.agatelane.node.forward;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.fleet.Route;
import io.agatelane.core.fleet.command.NormalDuration;
import io.agatelane.core.fleet.command.OutputTokens;
import io.agatelane.core.fleet.command.PrefillInterference;
import io.agatelane.core.fleet.command.PrefillSpeed;
import io.agatelane.core.fleet.command.ServiceTimes;
import io.agatelane.core.fleet.command.WindowedRetryBudget;
import io.agatelane.core.fleet.query.UpstreamChooser;
import io.agatelane.node.api.FleetPorts;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.cfg.FleetSettings;
import io.agatelane.node.fleet.FleetState;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
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
    private volatile boolean draining;
    private volatile boolean refusing;

    /** Creates the shared state of a router. */
    public ForwardContext(
            FleetSettings settings,
            FleetPorts ports,
            FleetState state,
            UpstreamChooser chooser,
            HttpClient client,
            TimerService timers,
            MetricRegistry metrics) {
        this.settings = settings;
        this.ports = ports;
        this.state = state;
        this.chooser = chooser;
        this.client = client;
        this.timers = timers;
        this.metrics = metrics;
    }

    /** Applies changed settings to requests that come from now on. */
    public void apply(FleetSettings changed) {
        settings = changed;
        budgets.clear();
    }

    FleetSettings settings() {
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

    HttpClient client() {
        return client;
    }

    TimerService timers() {
        return timers;
    }

    MetricRegistry metrics() {
        return metrics;
    }

    /** Takes one retry to a service from its budget; false when the budget is used up. */
    boolean tryTakeRetry(String service, long nowMillis) {
        return budget(service).tryTake(nowMillis, state.routerCount());
    }

    /** Calls of a service that wait for room at an engine. */
    WaitingCalls waiting(String service) {
        return waiting.computeIfAbsent(service, name -> new WaitingCalls(timers, client.getExecutor()));
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

    /** Whether the process is shutting down: responses then close their connections. */
    boolean isDraining() {
        return draining;
    }

    /** Whether new requests are refused because the process ends before many of them could be finished. */
    public boolean isRefusing() {
        return refusing;
    }

    /** Refuses new requests from now on. */
    public void refuse() {
        refusing = true;
    }

    /** Begins the shutdown. */
    public void drain() {
        draining = true;
    }
}
