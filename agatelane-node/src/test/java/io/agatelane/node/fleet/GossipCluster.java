package io.agatelane.node.fleet;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.node.api.FleetReadResult;
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

/** Routers in three availability zones that gossip over a simulated network. */
final class GossipCluster {
    static final long POLL_MILLIS = 700;
    private static final long PACKET_DELAY_MILLIS = 3;
    private static final int ZONES = 3;

    final FakeControl control = new FakeControl();
    final FakeKeyValueStore store = new FakeKeyValueStore(control);
    final FakeFleet fleet = new FakeFleet(control, store, 4);
    final List<Router> routers = new ArrayList<>();
    private final Map<InetSocketAddress, Router> byAddress = new HashMap<>();
    private final Random loss = new Random(29);
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

    /** The routers that currently act as relays. */
    List<Router> relays() {
        return routers.stream().filter(router -> router.gossip.isRelay()).toList();
    }

    final class Router {
        final FakeRouterControl routerControl = new FakeRouterControl(control);
        final FleetState state;
        final StorePoller poller;
        final RouterEntry entry;
        final LoadGossip gossip;
        private final RouterRegistry registry;
        private boolean cutFromStore;
        private boolean dropsIncoming;
        private double lossShare;
        private long incomingDelayMillis;

        private Router(int number) {
            String zone = "z" + number % ZONES;
            entry = new RouterEntry("vm-" + number, zone, new InetSocketAddress("127.0.0.1", 10_000 + number));
            state = new FleetState();
            MetricRegistry metrics = new MetricRegistry();
            Random random = new Random(number);
            FleetSource source = new FleetSource() {
                @Override
                public CompletableFuture<FleetReadResult> read() {
                    return cutFromStore ? cutOff() : fleet.read();
                }

                @Override
                public CompletableFuture<FleetReadResult> readPossiblyStale() {
                    return cutFromStore ? cutOff() : fleet.readPossiblyStale();
                }
            };
            poller = new StorePoller(source, state, routerControl, routerControl, random, POLL_MILLIS, metrics);
            registry = new RouterRegistry(store, poller, routerControl, routerControl, random, entry);
            gossip = new LoadGossip(state, poller, registry, routerControl, entry, 1, this::send, metrics);
            byAddress.put(entry.address(), this);
        }

        private static CompletableFuture<FleetReadResult> cutOff() {
            return CompletableFuture.failedFuture(new AgatelaneException(FailureType.PLATFORM_UNAVAILABLE, "cut off"));
        }

        private void start() {
            poller.start();
            registry.start();
            gossip.start();
        }

        private void send(InetSocketAddress target, byte[] packet) {
            Router receiver = byAddress.get(target);
            packets++;
            if (!receiver.entry.zone().equals(entry.zone())) {
                bytesBetweenZones += packet.length;
            }
            control.after(PACKET_DELAY_MILLIS + receiver.incomingDelayMillis, () -> {
                if (!receiver.dropsIncoming && loss.nextDouble() >= receiver.lossShare) {
                    receiver.routerControl.execute(() -> receiver.gossip.receive(entry.address(), packet));
                }
            });
        }

        void setCutFromStore(boolean cut) {
            cutFromStore = cut;
        }

        /** Drops all packets to this router, or delivers them again. */
        void setDropsIncoming(boolean drops) {
            dropsIncoming = drops;
        }

        /** Loses a share of the packets to this router. */
        void loseIncoming(double share) {
            lossShare = share;
        }

        /** Delays packets to this router from now on. */
        void delayIncoming(long millis) {
            incomingDelayMillis = millis;
        }

        FleetUpstream upstream() {
            return state.snapshot().view().upstreams().stream()
                    .filter(upstream -> upstream.id().equals("e0"))
                    .findFirst()
                    .orElseThrow();
        }

        /** Requests at the first upstream, as this router sees them. */
        double estimatedRequests() {
            return state.estimate(upstream(), control.monotonicMillis()).requests();
        }

        long configAgeMillis() {
            return state.snapshot()
                    .configVerifiedAt()
                    .orElseThrow()
                    .ageMillis(control.monotonicMillis(), control.epochMillis());
        }
    }
}
