package io.agatelane.node.fleet;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.fleet.FleetConfig;
import io.agatelane.core.fleet.query.ChoiceSettings;
import io.agatelane.core.fleet.query.UpstreamChooser;
import io.agatelane.node.api.FleetPorts;
import io.agatelane.node.api.PlatformAdapter;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.cfg.FleetSettings;
import io.agatelane.node.control.ControlThread;
import io.agatelane.node.control.Watchdog;
import io.agatelane.node.forward.ForwardContext;
import io.agatelane.node.forward.ForwardHandler;
import io.agatelane.node.io.gossip.UdpSocket;
import io.agatelane.node.io.http.MetricsHandler;
import io.agatelane.node.util.EventLog;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** A fleet router: one process on a VM that takes callers' traffic, configured by the operator through the store. */
public final class FleetNode {
    private static final EventLog LOG = EventLog.of(FleetNode.class);
    // Sized for one core: selectors and acceptors take five threads, the others serve requests without blocking.
    private static final int MAX_THREADS = 16;
    private static final int MIN_THREADS = 8;
    // The load balancer removes a router after two failed checks, a second apart; a third second covers its delay.
    private static final long OUT_OF_ROTATION_MILLIS = 3_200;
    // A request that comes later than this could still be running when the process has to end.
    private static final long LAST_REQUEST_MILLIS = 2_800;
    // Time for one response of the store.
    private static final long HAND_OVER_TIMEOUT_MILLIS = 250;
    // Part of the grace period, at its end, in which the last final responses are written and the process exits. A
    // request whose upstream still works in the last sixth of the grace period may be given up.
    private static final long MAX_EXIT_MILLIS = 1_000;
    private static final double MAX_EXIT_SHARE = 0.125;
    // Time to write the last final responses; a caller that does not read cannot delay the exit for longer.
    private static final long LAST_WRITE_MILLIS = 250;
    private static final long DRAIN_CHECK_MILLIS = 50;
    private static final long LAST_WRITE_CHECK_MILLIS = 10;
    // Covers the delay of a packet or of a response of the store, and the timer of the router that reads it.
    private static final long ANNOUNCE_MARGIN_MILLIS = 150;

    private final FleetSettings settings;
    private final ControlThread control;
    private final FleetState state;
    private final ForwardContext context;
    private final ForwardHandler forward;
    private final FleetServer server;
    private final StorePoller poller;
    private final WeightsRollout rollout;
    private final RouterRegistry registry;
    private final LoadGossip gossip;
    private final CacheStoreProbe cacheStoreProbe;
    private final QuarantineKeeper quarantine;
    private final EraMarker eraMarker;
    private final List<HttpClient> clients;
    private final QueuedThreadPool threads;
    private final CountDownLatch closed = new CountDownLatch(1);
    private final MetricRegistry metrics;
    private final Watchdog watchdog;
    private volatile UdpSocket gossipSocket;
    private volatile boolean draining;

    private FleetNode(FleetSettings settings, PlatformAdapter adapter) {
        this.settings = settings;
        state = new FleetState();
        control = new ControlThread(settings.vmName());
        metrics = new MetricRegistry();
        threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setReservedThreads(0);
        threads.setName("http");
        threads.setDaemon(true);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("scheduler", true);
        LifeCycle.start(threads);
        LifeCycle.start(scheduler);
        HttpClient controlClient = FleetHttpClients.forControl(threads, scheduler, settings.maxResponseHeadBytes());
        HttpClient requestClient = FleetHttpClients.forRequests(threads, scheduler, settings.maxResponseHeadBytes());
        clients = List.of(controlClient, requestClient);
        FleetPorts ports =
                adapter.open(controlClient, requestClient, settings.storeAddress(), settings.storeTimeoutMillis());
        UpstreamChooser chooser = new UpstreamChooser(new ChoiceSettings(settings.zone(), settings.crossZoneMillis()));
        context = new ForwardContext(
                settings, ports, state, chooser, requestClient, control, metrics, settings.heldBytes());
        forward = new ForwardHandler(context);
        server = new FleetServer(
                threads,
                scheduler,
                control,
                Map.of(
                        settings.callerAddress(), forward,
                        settings.readinessAddress(),
                                new ReadinessHandler(ports.callerProtocol().readinessPath(), this::isReady),
                        settings.metricsAddress(), new MetricsHandler(metrics)),
                settings.callerAddress());
        RandomGenerator random = RandomGenerator.getDefault();
        poller = new StorePoller(ports.fleetSource(), state, control, control, random, settings.pollMillis(), metrics);
        RouterEntry self = new RouterEntry(settings.vmName(), settings.zone(), settings.peerAddress());
        registry = new RouterRegistry(ports.store(), poller, control, control, random, self);
        gossip = new LoadGossip(
                state,
                poller,
                registry,
                control,
                self,
                control.epochMillis(),
                (target, packet) -> gossipSocket.send(target, packet),
                metrics);
        gossip.setDemands(new ReportedDemands(state, context.accountLimiter(), context::serviceDemands));
        cacheStoreProbe = new CacheStoreProbe(state, registry, ports.engineControl(), control, control);
        RolloutLeadership leadership = new RolloutLeadership(
                ports.store(),
                control,
                control,
                settings.vmName(),
                settings.leaseMillis(),
                settings.upstreamsCheckFencing());
        quarantine = new QuarantineKeeper(ports.store(), poller, state, control, control, random, metrics);
        eraMarker = new EraMarker(ports.store(), poller, control, control, random, state::routerCount);
        watchdog = new Watchdog(control, metrics);
        quarantine.watch(watchdog);
        eraMarker.watch(watchdog);
        poller.watch(watchdog);
        registry.watch(watchdog);
        gossip.watch(watchdog);
        cacheStoreProbe.watch(watchdog);
        leadership.watch(watchdog);
        metrics.gauge("control_failures_unlogged_total", () -> control::unloggedFailures);
        rollout = new WeightsRollout(
                state,
                poller,
                leadership,
                new WeightsRequestTimesWriter(ports.store(), control, control),
                ports.engineControl(),
                control,
                control,
                random,
                settings.vmName(),
                () -> gossip.propagationMillis() + ANNOUNCE_MARGIN_MILLIS,
                metrics);
    }

    /** Starts a router. */
    public static FleetNode start(FleetSettings settings, PlatformAdapter adapter) {
        FleetNode node = new FleetNode(settings, adapter);
        node.poller.subscribe(node::applyLimits);
        node.poller.subscribe(
                () -> node.state.setRouterCount(node.registry.others().size() + 1));
        node.server.start();
        node.registry.start();
        node.startGossip();
        node.cacheStoreProbe.start();
        node.quarantine.start();
        node.eraMarker.start();
        node.poller.start();
        node.rollout.start();
        node.watchdog.start();
        LOG.event("started")
                .with("vm", settings.vmName())
                .with("zone", settings.zone())
                .with("callers", settings.callerAddress())
                .with("store", settings.storeAddress())
                .info();
        return node;
    }

    private void startGossip() {
        gossipSocket = UdpSocket.bind(
                settings.peerAddress(), "gossip", (from, bytes) -> control.execute(() -> gossip.receive(from, bytes)));
        metrics.gauge("gossip_truncated_total", () -> gossipSocket::truncatedCount);
        metrics.gauge("gossip_unsent_total", () -> gossipSocket::unsentCount);
        gossip.start();
    }

    /**
     * Applies the limits of changed settings. Changed addresses and intervals take effect only when the process is
     * restarted.
     */
    public void apply(FleetSettings changed) {
        context.apply(changed);
        LOG.event("settings_applied")
                .with("vm", changed.vmName())
                .with("max_proof_ms", changed.maxConfigAgeMillis())
                .with("weights_ms", changed.weightsMillis())
                .with("retry_ratio", changed.retryRatio())
                .with("retry_slack", changed.retrySlack())
                .with("restart_needed", !changed.storeAddress().equals(settings.storeAddress()))
                .info();
    }

    /** The timer service of this router. */
    public TimerService timers() {
        return control;
    }

    private void applyLimits() {
        state.snapshot().config().ifPresent(config -> {
            FleetHttpClients.allowRequestHeads(context.client(), config.limits().headerBytes());
            server.apply(config.limits());
        });
    }

    private boolean isReady() {
        FleetSnapshot snapshot = state.snapshot();
        return !draining && snapshot.config().isPresent() && (isProven(snapshot) || !needsProof(snapshot));
    }

    // Without a recent proof of the configuration every request with an API key is refused.
    private boolean isProven(FleetSnapshot snapshot) {
        return snapshot.configAgeMillis(control.now()) <= context.settings().maxConfigAgeMillis();
    }

    private static boolean needsProof(FleetSnapshot snapshot) {
        return snapshot.config().filter(FleetConfig::requiresApiKey).isPresent();
    }

    /** Leaves the load balancer's rotation, finishes the accepted requests, and stops within the grace period. */
    public void shutDownGracefully() {
        long startedMillis = control.monotonicMillis();
        LOG.event("stopping")
                .with("vm", settings.vmName())
                .with("in_flight", forward.inFlight())
                .info();
        long lastAnswerMillis = startedMillis + settings.graceMillis() - exitMillis();
        context.shutdown().begin(lastAnswerMillis);
        draining = true;
        int unanswered = 0;
        try {
            while (control.monotonicMillis() < lastAnswerMillis
                    && !isDrained(control.monotonicMillis() - startedMillis)) {
                TimeUnit.MILLISECONDS.sleep(DRAIN_CHECK_MILLIS);
            }
            unanswered = forward.inFlight();
            endRequests(lastAnswerMillis + LAST_WRITE_MILLIS);
            rollout.stop().get(HAND_OVER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.event("rollout_duty_not_handed_over")
                    .with("action", "lapses")
                    .with("reason", e.toString())
                    .info();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        poller.close();
        LOG.event("stopped")
                .with("vm", settings.vmName())
                .with("unanswered", unanswered)
                .with("in_flight", forward.inFlight())
                .with("after_ms", control.monotonicMillis() - startedMillis)
                .info();
        closed.countDown();
    }

    private long exitMillis() {
        return Math.min(MAX_EXIT_MILLIS, Math.round(settings.graceMillis() * MAX_EXIT_SHARE));
    }

    private boolean isDrained(long elapsedMillis) {
        if (elapsedMillis > LAST_REQUEST_MILLIS) {
            context.shutdown().refuse();
            forward.refuseUnstarted();
        }
        return elapsedMillis > OUT_OF_ROTATION_MILLIS && forward.inFlight() == 0;
    }

    // A request that was passed on never ends without a final response, even if its upstream has not answered.
    private void endRequests(long untilMillis) throws InterruptedException {
        context.shutdown().refuse();
        while (forward.inFlight() > 0 && control.monotonicMillis() < untilMillis) {
            forward.endAll();
            TimeUnit.MILLISECONDS.sleep(LAST_WRITE_CHECK_MILLIS);
        }
    }

    /** Whether this router has left the load balancer's rotation. */
    public boolean isDraining() {
        return draining;
    }

    /** Whether new requests are refused. */
    public boolean isRefusing() {
        return context.shutdown().isRefusing();
    }

    /** Stops at once, without waiting for requests in flight. */
    public void close() {
        draining = true;
        poller.close();
        gossipSocket.close();
        server.stop();
        clients.forEach(FleetNode::stop);
        control.close();
        LifeCycle.stop(threads);
        closed.countDown();
    }

    private static void stop(HttpClient client) {
        LifeCycle.stop(client);
    }

    /** Waits for the end of the shutdown. */
    public void awaitClosed() throws InterruptedException {
        closed.await();
    }
}
