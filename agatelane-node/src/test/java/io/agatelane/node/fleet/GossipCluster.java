package io.agatelane.node.fleet;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.node.api.FleetSource;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import io.agatelane.node.fakes.FakeRouterControl;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/** Routers in three availability zones that gossip over a network of the test's. */
final class GossipCluster {
    static final long POLL_MILLIS = 700;
    private static final long PACKET_MILLIS = 3;
    private static final int ZONES = 3;

    final FakeControl control = new FakeControl();
    final FakeKeyValueStore store = new FakeKeyValueStore(control);
    final FakeFleet fleet = new FakeFleet(control, store, 4);
    final List<Router> routers = new ArrayList<>();
    private final Map<InetSocketAddress, Router> byAddress = new HashMap<>();
    private int packets;
    private int bytesBetweenZones;

    GossipCluster(int size) {
        store.setLatencyMillis(4);
        for (int i = 0; i < size; i++) {
            routers.add(new Router(i));
        }
        routers.forEach(Router::start);
        control.advance(6_000);
    }

    int takePackets() {
        int taken = packets;
        packets = 0;
        return taken;
    }

    int takeBytesBetweenZones() {
        int taken = bytesBetweenZones;
        bytesBetweenZones = 0;
        return taken;
    }

    /** The routers that others have as relay. */
    List<Router> relays() {
        return routers.stream().filter(router -> router.gossip.isRelay()).toList();
    }

    final class Router {
        final FakeRouterControl own = new FakeRouterControl(control);
        final FleetState state;
        final FleetFollower follower;
        final RouterEntry entry;
        final LoadGossip gossip;
        private final RouterRegistry registry;
        private boolean cutFromStore;
        private boolean deaf;
        private long answerDelayMillis;

        private Router(int number) {
            String zone = "z" + number % ZONES;
            entry = new RouterEntry("vm-" + number, zone, new InetSocketAddress("127.0.0.1", 10_000 + number));
            state = new FleetState(entry.vm());
            MetricRegistry metrics = new MetricRegistry();
            Random random = new Random(number);
            FleetSource source = () -> cutFromStore
                    ? CompletableFuture.failedFuture(
                            new AgatelaneException(FailureType.PLATFORM_UNAVAILABLE, "cut off"))
                    : fleet.read();
            follower = new FleetFollower(source, state, own, own, random, POLL_MILLIS, metrics);
            registry = new RouterRegistry(store, follower, own, own, random, entry);
            gossip = new LoadGossip(state, follower, registry, own, entry, 1, this::send, metrics);
            byAddress.put(entry.address(), this);
        }

        private void start() {
            follower.start();
            registry.start();
            gossip.start();
        }

        private void send(InetSocketAddress target, byte[] packet) {
            Router receiver = byAddress.get(target);
            packets++;
            if (!receiver.entry.zone().equals(entry.zone())) {
                bytesBetweenZones += packet.length;
            }
            control.after(PACKET_MILLIS + receiver.answerDelayMillis, () -> {
                if (!receiver.deaf) {
                    receiver.own.execute(() -> receiver.gossip.receive(entry.address(), packet));
                }
            });
        }

        void setCutFromStore(boolean cut) {
            cutFromStore = cut;
        }

        /** Loses all packets to this router. */
        void setDeaf(boolean lost) {
            deaf = lost;
        }

        /** Packets to this router take longer from now on. */
        void delayPackets(long millis) {
            answerDelayMillis = millis;
        }

        FleetUpstream upstream() {
            return state.knowledge().view().upstreams().stream()
                    .filter(upstream -> upstream.id().equals("e0"))
                    .findFirst()
                    .orElseThrow();
        }

        /** Requests at the first upstream, as this router sees them. */
        double seen() {
            return state.estimate(upstream(), control.monotonicMillis()).requests();
        }

        long proofAgeMillis() {
            return state.knowledge().proof().orElseThrow().ageMillis(control.monotonicMillis(), control.epochMillis());
        }
    }
}
