package io.agatelane.lab.experiment;

import io.agatelane.core.model.RoutingPolicy;
import io.agatelane.lab.engine.EngineServer;
import io.agatelane.lab.engine.EngineSettings;
import io.agatelane.lab.http.LabServer;
import io.agatelane.lab.http.LoopbackPorts;
import io.agatelane.lab.load.LoadTarget;
import io.agatelane.lab.load.RouterTarget;
import io.agatelane.lab.operator.LabOperatorClient;
import io.agatelane.lab.platform.PlatformServer;
import io.agatelane.node.cfg.Settings;
import io.agatelane.node.impl.RouterNode;
import io.agatelane.node.io.http.Authenticator;
import io.agatelane.wire.operator.ClientAccountSpec;
import io.agatelane.wire.operator.ConfigObject;
import io.agatelane.wire.operator.ModelSpec;
import io.agatelane.wire.operator.RoutingPolicySpec;
import io.agatelane.wire.operator.UpstreamSpec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Routers in front of a fleet, with a stand-in for the platform, all inside this process. */
final class RouterGroup implements AutoCloseable {
    private static final String POLICY = "lab";
    private static final String ZONE = "ch-nord-a";
    private static final long APPLY_TIMEOUT_MILLIS = 30_000;
    private static final long READY_TIMEOUT_MILLIS = 10_000;
    private static final long READY_POLL_MILLIS = 20;

    private final PlatformServer platform;
    private final List<RouterNode> routers = new ArrayList<>();
    private final List<String> apiKeys = new ArrayList<>();

    private RouterGroup() {
        platform = new PlatformServer(LabServer.parseAddress("127.0.0.1:0")).start();
    }

    /** Starts the routers, applies a configuration with the fleet and waits until all routers are ready. */
    static RouterGroup start(Fleet fleet, RunSettings settings) {
        RouterGroup group = new RouterGroup();
        try {
            group.startRouters(settings.routers());
            group.configure(fleet, settings);
            group.awaitReady();
            return group;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            group.close();
            throw new IllegalStateException("interrupted while starting the routers", e);
        } catch (RuntimeException e) {
            group.close();
            throw e;
        }
    }

    LoadTarget target() {
        List<String> urls = routers.stream()
                .map(router -> "http://127.0.0.1:" + router.httpPort())
                .toList();
        return new RouterTarget(urls, apiKeys, "");
    }

    @Override
    public void close() {
        routers.forEach(RouterNode::close);
        platform.close();
    }

    private void startRouters(int count) {
        // Each router needs the peer addresses of the others before it starts, so port 0 cannot be used here.
        List<InetSocketAddress> peers = LoopbackPorts.free(count);
        for (int i = 0; i < count; i++) {
            Settings settings = new Settings(
                    "router-" + i,
                    ZONE,
                    "ch-nord",
                    LabServer.parseAddress("127.0.0.1:0"),
                    LabServer.parseAddress("127.0.0.1:0"),
                    peers.get(i),
                    platform.url(),
                    2_000,
                    500,
                    peers,
                    8 << 20,
                    900_000,
                    0,
                    1_000,
                    i + 1);
            routers.add(RouterNode.start(settings));
        }
    }

    private void configure(Fleet fleet, RunSettings settings) throws InterruptedException {
        List<ConfigObject> objects = new ArrayList<>();
        objects.add(policy(settings.policy()));
        objects.add(model(fleet.settings()));
        for (int i = 0; i < fleet.engines().size(); i++) {
            objects.add(upstream("engine-" + i, fleet.engines().get(i), fleet.settings()));
        }
        for (int i = 0; i < settings.accounts(); i++) {
            String key = "lab-key-" + i;
            apiKeys.add(key);
            objects.add(account("account-" + i, key));
        }
        InetSocketAddress rpcAddress =
                LabServer.parseAddress("127.0.0.1:" + routers.get(0).rpcPort());
        try (LabOperatorClient client = new LabOperatorClient(rpcAddress)) {
            client.applyAll(objects, APPLY_TIMEOUT_MILLIS);
        }
    }

    private void awaitReady() throws InterruptedException {
        long endNanos = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000;
        while (!routers.stream().allMatch(RouterNode::isReady)) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException("a router did not become ready within the timeout");
            }
            Thread.sleep(READY_POLL_MILLIS);
        }
        // Waits for a round of load reports and gossip, so that the routers know the engines' load at the first
        // request.
        Thread.sleep(1_000);
    }

    private static ConfigObject policy(RoutingPolicy policy) {
        return ConfigObject.newBuilder()
                .setName(POLICY)
                .setRoutingPolicy(RoutingPolicySpec.newBuilder()
                        .setFirstTokenDeadlineMillis(policy.firstTokenDeadlineMillis())
                        .setLongRequestMillis(policy.longRequestMillis())
                        .setLongSharePercent(policy.longSharePercent())
                        .setHedgePercent(policy.hedgePercent())
                        .setRetryPercent(policy.retryPercent()))
                .build();
    }

    private static ConfigObject model(EngineSettings engine) {
        return ConfigObject.newBuilder()
                .setName(engine.model())
                .setModel(ModelSpec.newBuilder()
                        .setWeightsVersion(engine.weightsVersion())
                        .setMaxContextTokens(131_072)
                        .setDefaultMaxTokens(64)
                        .setRoutingPolicy(POLICY))
                .build();
    }

    private static ConfigObject upstream(String name, EngineServer engine, EngineSettings settings) {
        return ConfigObject.newBuilder()
                .setName(name)
                .setUpstream(UpstreamSpec.newBuilder()
                        .setBaseUrl(engine.url())
                        .setAvailabilityZone(ZONE)
                        .addModels(settings.model())
                        .setSlots(settings.slots())
                        .setChecksFencing(settings.checksFencing()))
                .build();
    }

    private static ConfigObject account(String name, String apiKey) {
        return ConfigObject.newBuilder()
                .setName(name)
                .setClientAccount(ClientAccountSpec.newBuilder()
                        .addApiKeySha256(Authenticator.sha256Hex(apiKey))
                        .setWeight(1)
                        .setRoutingPolicy(POLICY))
                .build();
    }
}
