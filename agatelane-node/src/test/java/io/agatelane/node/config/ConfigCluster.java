package io.agatelane.node.config;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.Member;
import io.agatelane.node.api.MemberState;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import io.agatelane.node.fakes.FakeMembership;
import io.agatelane.node.fakes.FakePeerNetwork;
import io.agatelane.node.fakes.NodeContexts;
import io.agatelane.wire.operator.ApplyRequest;
import io.agatelane.wire.operator.ApplyResponse;
import io.agatelane.wire.operator.ConfigObject;
import io.agatelane.wire.operator.GetRequest;
import io.agatelane.wire.operator.Kind;
import io.agatelane.wire.operator.RoutingPolicySpec;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** Runs several routers in one process on a simulated clock. Gossip delivers revisions every 200 ms. */
final class ConfigCluster {
    static final long GOSSIP_MILLIS = 200;

    final FakeControl control = new FakeControl();
    final FakeKeyValueStore platform = new FakeKeyValueStore(control);
    final CountingStore store = new CountingStore(platform);
    final FakePeerNetwork network = new FakePeerNetwork(control);
    final Map<String, Node> nodes = new TreeMap<>();
    final Set<String> withoutGossip = new HashSet<>();
    private final boolean naive;
    private long incarnation;

    ConfigCluster(boolean naive) {
        this.naive = naive;
        platform.setLatencyMillis(4);
        control.every("gossip", GOSSIP_MILLIS, this::gossip);
    }

    static ConfigCluster of(int count) {
        return of(count, false);
    }

    static ConfigCluster of(int count, boolean naive) {
        ConfigCluster cluster = new ConfigCluster(naive);
        for (int i = 1; i <= count; i++) {
            cluster.start(name(i));
        }
        cluster.control.advance(1_000);
        return cluster;
    }

    static String name(int index) {
        return "entry-" + index;
    }

    static ApplyRequest policy(String name, int deadlineMillis, long expectedVersion, String changeId) {
        ConfigObject object = ConfigObject.newBuilder()
                .setName(name)
                .setRoutingPolicy(RoutingPolicySpec.newBuilder()
                        .setFirstTokenDeadlineMillis(deadlineMillis)
                        .setLongRequestMillis(4_000)
                        .setLongSharePercent(50))
                .build();
        return ApplyRequest.newBuilder()
                .setObject(object)
                .setExpectedVersion(expectedVersion)
                .setChangeId(changeId)
                .build();
    }

    /** Starts a router, or restarts it without its previous state. */
    Node start(String name) {
        stop(name);
        FakeMembership membership = new FakeMembership(name);
        nodes.values().forEach(other -> membership.put(other.member(0)));
        NodeContext context = NodeContexts.context(name, ++incarnation, control);
        Router router = naive
                ? new NaiveConfigService(context, store)
                : new RealRouter(new ConfigService(context, store, membership, network.attach(name)));
        Node node = new Node(name, incarnation, membership, router, context.metrics());
        nodes.put(name, node);
        nodes.values().forEach(other -> other.membership.put(node.member(0)));
        node.started = router.start();
        return node;
    }

    void stop(String name) {
        Node old = nodes.remove(name);
        if (old != null) {
            old.router.close();
            network.detach(name);
        }
    }

    Node node(int index) {
        return nodes.get(name(index));
    }

    /** Advances the clock until a call has ended and returns its value. */
    <T> T await(CompletableFuture<T> call) {
        for (int i = 0; i < 30_000 && !call.isDone(); i++) {
            control.advance(1);
        }
        return call.join();
    }

    /** Advances the clock until a call has ended and returns its failure. */
    AgatelaneException failure(CompletableFuture<?> call) {
        try {
            await(call);
        } catch (RuntimeException e) {
            return AgatelaneException.from(e);
        }
        return new AgatelaneException(FailureType.INTERNAL, "the call succeeded");
    }

    /** Advances the clock long enough for all routers to finish pending work. */
    void settle() {
        control.advance(3_000);
    }

    private void gossip() {
        for (Node from : nodes.values()) {
            if (withoutGossip.contains(from.name)) {
                continue;
            }
            long revision = from.router.revision();
            for (Node to : nodes.values()) {
                if (to != from && !withoutGossip.contains(to.name)) {
                    to.receiveGossip(from, revision);
                }
            }
        }
    }

    /** The operations of a router that the tests use; implemented by the real and by the unprotected service. */
    interface Router {
        CompletableFuture<?> start();

        CompletableFuture<ApplyResponse> apply(ApplyRequest request);

        long revision();

        Optional<ConfigObject> policy(String name);

        void announced(String vmName, long revision);

        void close();
    }

    static final class Node {
        final String name;
        final FakeMembership membership;
        final Router router;
        final MetricRegistry metrics;
        CompletableFuture<?> started;
        private final long incarnation;

        private Node(String name, long incarnation, FakeMembership membership, Router router, MetricRegistry metrics) {
            this.metrics = metrics;
            this.name = name;
            this.incarnation = incarnation;
            this.membership = membership;
            this.router = router;
        }

        ConfigService service() {
            return ((RealRouter) router).service;
        }

        int deadlineOf(String policy) {
            return router.policy(policy)
                    .map(object -> object.getRoutingPolicy().getFirstTokenDeadlineMillis())
                    .orElse(-1);
        }

        private Member member(long revision) {
            return new Member(name, incarnation, MemberState.ALIVE, "127.0.0.1:1", "zone-a", revision);
        }

        private void receiveGossip(Node from, long revision) {
            Member received = from.member(revision);
            if (!membership.member(from.name).equals(Optional.of(received))) {
                membership.put(received);
                router.announced(from.name, revision);
            }
        }
    }

    private record RealRouter(ConfigService service) implements Router {
        @Override
        public CompletableFuture<?> start() {
            return service.start();
        }

        @Override
        public CompletableFuture<ApplyResponse> apply(ApplyRequest request) {
            return service.apply(request);
        }

        @Override
        public long revision() {
            return service.current().revision();
        }

        @Override
        public Optional<ConfigObject> policy(String name) {
            try {
                GetRequest request = GetRequest.newBuilder()
                        .setKind(Kind.ROUTING_POLICY)
                        .setName(name)
                        .build();
                return Optional.of(service.get(request).getObject());
            } catch (AgatelaneException e) {
                return Optional.empty();
            }
        }

        @Override
        public void announced(String vmName, long revision) {
            service.revisionAnnounced(vmName, revision);
        }

        @Override
        public void close() {
            service.close();
        }
    }
}
