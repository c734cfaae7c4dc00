package io.agatelane.node.impl;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.cfg.Settings;
import io.agatelane.node.config.ConfigService;
import io.agatelane.node.control.ControlThread;
import io.agatelane.node.io.engine.EngineTraffic;
import io.agatelane.node.io.gossip.GossipMembership;
import io.agatelane.node.io.http.Authenticator;
import io.agatelane.node.io.http.HealthHandler;
import io.agatelane.node.io.http.HttpFrontend;
import io.agatelane.node.io.http.MetricsHandler;
import io.agatelane.node.io.operator.OperatorServer;
import io.agatelane.node.io.orders.OrderController;
import io.agatelane.node.io.peer.NettyPeerTransport;
import io.agatelane.node.io.platform.PlatformClient;
import io.agatelane.node.io.service.ServiceTraffic;
import io.agatelane.node.util.EventLog;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

/** One router: assembles its components, starts them, and shuts them down without interrupting a request. */
public final class RouterNode implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(RouterNode.class);

    // When neither the platform nor a peer responds in this time, the router starts all the same and refuses requests
    // until a configuration arrives.
    private static final long MAX_CONFIG_WAIT_MILLIS = 10_000;

    private final Settings settings;
    private final ControlThread control;
    private final PlatformClient platform;
    private final GossipMembership membership;
    private final NettyPeerTransport peers;
    private final ConfigService config;
    private final EngineTraffic engineTraffic;
    private final ServiceTraffic serviceTraffic;
    private final HttpFrontend frontend;
    private final OperatorServer operators;
    private final OrderController orders;
    private final Deque<AutoCloseable> started = new ArrayDeque<>();
    private final AtomicBoolean closing = new AtomicBoolean();
    private final CountDownLatch closed = new CountDownLatch(1);
    private volatile boolean ready;

    private RouterNode(Settings settings) {
        this.settings = settings;
        this.control = new ControlThread(settings.vmName());
        NodeContext context = new NodeContext(settings, control.epochMillis(), control, control, new MetricRegistry());
        this.platform = new PlatformClient(context);
        this.membership = new GossipMembership(context, platform);
        this.peers = new NettyPeerTransport(context, membership);
        this.config = new ConfigService(context, platform, membership, peers);
        Authenticator authenticator = new Authenticator(config);
        this.engineTraffic = new EngineTraffic(context, config, membership, authenticator);
        this.serviceTraffic = new ServiceTraffic(context, config, membership, peers, platform, authenticator);
        this.frontend = new HttpFrontend(
                settings.httpAddress(),
                List.of(
                        new HealthHandler(this::isReady),
                        new MetricsHandler(context.metrics()),
                        engineTraffic.handler(),
                        serviceTraffic.handler()));
        this.orders = new OrderController(context, config, membership, platform);
        this.operators = new OperatorServer(
                context,
                config,
                membership,
                engineTraffic,
                platform,
                List.of(new HealthHandler(this::isReady), new MetricsHandler(context.metrics())));
    }

    /**
     * Starts a router and returns once it serves requests.
     *
     * @throws AgatelaneException when an address cannot be used
     */
    public static RouterNode start(Settings settings) {
        RouterNode node = new RouterNode(settings);
        try {
            node.startComponents();
            return node;
        } catch (RuntimeException e) {
            node.close();
            throw e;
        }
    }

    /** Returns whether the load balancer may send requests to this router. */
    public boolean isReady() {
        return ready && config.current().revision() > 0;
    }

    /** Returns the port on which callers connect. */
    public int httpPort() {
        return frontend.port();
    }

    /** Returns the port on which operators connect. */
    public int rpcPort() {
        return operators.port();
    }

    /** Blocks until the router has stopped. */
    public void awaitClosed() throws InterruptedException {
        closed.await();
    }

    /**
     * Fails the readiness check, waits for the load balancer to notice, finishes the running requests and stops. The
     * wait for running requests is bounded by {@code graceMillis}.
     */
    public void shutDownGracefully() {
        LOG.event("shutdown_started").with("vm", settings.vmName()).info();
        ready = false;
        membership.announceLeaving();
        pause(settings.drainDelayMillis());
        engineTraffic.refuseNewRequests();
        serviceTraffic.refuseNewRequests();
        CompletableFuture<Void> drained = CompletableFuture.allOf(engineTraffic.drained(), serviceTraffic.drained());
        boolean complete = await(drained, settings.graceMillis());
        LOG.event("shutdown_drained").with("complete", complete).info();
        close();
    }

    @Override
    public void close() {
        if (!closing.compareAndSet(false, true)) {
            return;
        }
        ready = false;
        while (!started.isEmpty()) {
            closeComponent(started.pop());
        }
        LOG.event("router_stopped").with("vm", settings.vmName()).info();
        closed.countDown();
    }

    private void startComponents() {
        started.push(control);
        startComponent(platform::start, platform);
        startComponent(peers::start, peers);
        startComponent(membership::start, membership);
        config.onChange(snapshot -> membership.setConfigRevision(snapshot.revision()));
        membership.onConfigRevision(config::revisionAnnounced);
        startComponent(() -> await(config.start().thenApply(snapshot -> null), MAX_CONFIG_WAIT_MILLIS), config);
        startComponent(engineTraffic::start, engineTraffic);
        startComponent(serviceTraffic::start, serviceTraffic);
        startComponent(orders::start, orders);
        startComponent(operators::start, operators);
        startComponent(frontend::start, frontend);
        ready = true;
        LOG.event("router_started")
                .with("vm", settings.vmName())
                .with("availabilityZone", settings.availabilityZone())
                .with("httpPort", httpPort())
                .with("rpcPort", rpcPort())
                .with("revision", config.current().revision())
                .info();
    }

    private void startComponent(Runnable start, AutoCloseable component) {
        started.push(component);
        start.run();
    }

    private static void closeComponent(AutoCloseable component) {
        try {
            component.close();
        } catch (Exception e) {
            LOG.event("part_close_failed")
                    .with("part", component.getClass().getSimpleName())
                    .error(e);
        }
    }

    private static boolean await(CompletableFuture<Void> future, long timeoutMillis) {
        try {
            future.get(timeoutMillis, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (ExecutionException e) {
            LOG.event("wait_failed")
                    .with("failure", AgatelaneException.from(e).type().code())
                    .warning();
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AgatelaneException(FailureType.SHUTTING_DOWN, "interrupted while waiting", e);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
