package io.agatelane.node.fleet;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.PlacementIndex.Placement;
import io.agatelane.core.fleet.PrefillBacklog;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.io.gossip.UdpSocket;
import io.agatelane.node.util.EventLog;
import io.agatelane.wire.peer.LoadDigest;
import io.agatelane.wire.peer.LoadedWeightsEntry;
import io.agatelane.wire.peer.PlacementEntry;
import io.agatelane.wire.peer.UpstreamLoadEntry;
import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Tells the other routers what this one has in flight, and listens to them. Hints only: packets may be lost. */
public final class LoadGossip {
    private static final EventLog LOG = EventLog.of(LoadGossip.class);
    // Load changes within some hundred milliseconds.
    private static final long PERIOD_MILLIS = 200;
    // Packets in one round. A large fleet is told in turns, so that the bytes of a router do not grow with the fleet.
    private static final int MAX_TARGETS = 10;
    // Longer than a round of packets and than the store's record needs; a holder that is gone reserves nothing for
    // long.
    private static final long RESERVED_MILLIS = 1_000;
    private static final double PERCENT = 100;

    private final FleetState state;
    private final RouterRegistry registry;
    private final TimerService timers;
    private final Random random;
    private final String vmName;
    private final long incarnation;
    private final InetSocketAddress address;
    private final MetricRegistry metrics;
    private UdpSocket socket;
    private long sequence;

    /** Creates an exchange; {@link #start} opens its socket. */
    public LoadGossip(
            FleetState state,
            RouterRegistry registry,
            TimerService timers,
            Random random,
            String vmName,
            long incarnation,
            InetSocketAddress address,
            MetricRegistry metrics) {
        this.state = state;
        this.registry = registry;
        this.timers = timers;
        this.random = random;
        this.vmName = vmName;
        this.incarnation = incarnation;
        this.address = address;
        this.metrics = metrics;
    }

    /** Opens the socket and begins to send. */
    public void start() {
        socket = UdpSocket.bind(address, "gossip", (from, bytes) -> receive(bytes));
        timers.every("load-gossip", PERIOD_MILLIS, this::send);
    }

    /** Time in which every other router is sent a packet. */
    long roundMillis() {
        int rounds = 1 + (registry.others().size() - 1) / MAX_TARGETS;
        return PERIOD_MILLIS * Math.max(1, rounds);
    }

    private void send() {
        List<InetSocketAddress> others = registry.others();
        if (others.isEmpty()) {
            return;
        }
        Collections.shuffle(others, random);
        byte[] packet = digest().toByteArray();
        int targets = Math.min(MAX_TARGETS, others.size());
        others.subList(0, targets).forEach(other -> socket.send(other, packet));
        metrics.counter("gossip_bytes_sent_total").inc((long) packet.length * targets);
    }

    private LoadDigest digest() {
        sequence++;
        LoadDigest.Builder digest = LoadDigest.newBuilder()
                .setVm(vmName)
                .setIncarnation(incarnation)
                .setSequence(sequence);
        for (PeerLoad load : state.digest(timers.monotonicMillis())) {
            digest.addLoads(UpstreamLoadEntry.newBuilder()
                    .setUpstream(load.upstream())
                    .setInFlight(load.inFlight())
                    .addAllPrefillMillis(load.backlog().figures())
                    .setSilentMillis(load.silentMillis())
                    .setFailuresPercent((int) Math.round(load.failures() * PERCENT)));
        }
        for (Placement placement : state.placements().takeUnsent()) {
            digest.addPlacements(PlacementEntry.newBuilder()
                    .setPart(placement.part())
                    .setHolder(placement.holder())
                    .setTokens(placement.tokens()));
        }
        RolloutHints hints = state.rolloutHints();
        digest.addAllReserved(hints.reserved());
        hints.loaded()
                .forEach((upstream, version) -> digest.addLoaded(
                        LoadedWeightsEntry.newBuilder().setUpstream(upstream).setVersion(version)));
        return digest.build();
    }

    /** Closes the socket. */
    public void close() {
        if (socket != null) {
            socket.close();
        }
    }

    private void receive(byte[] bytes) {
        try {
            LoadDigest digest = LoadDigest.parseFrom(bytes);
            List<PeerLoad> loads = digest.getLoadsList().stream()
                    .map(entry -> new PeerLoad(
                            entry.getUpstream(),
                            entry.getInFlight(),
                            PrefillBacklog.of(entry.getPrefillMillisList()),
                            entry.getSilentMillis(),
                            entry.getFailuresPercent() / PERCENT))
                    .toList();
            state.peers()
                    .update(
                            digest.getVm(),
                            digest.getIncarnation(),
                            digest.getSequence(),
                            loads,
                            timers.monotonicMillis());
            long until = timers.monotonicMillis() + RESERVED_MILLIS;
            digest.getReservedList().forEach(upstream -> state.heardReserved(upstream, until));
            digest.getLoadedList().forEach(entry -> state.heardWeights(entry.getUpstream(), entry.getVersion()));
            digest.getPlacementsList().forEach(entry -> state.placements()
                    .heard(new Placement(entry.getPart(), entry.getHolder(), entry.getTokens())));
        } catch (InvalidProtocolBufferException e) {
            metrics.counter("gossip_unreadable_total").inc();
            LOG.event("gossip_unreadable")
                    .with("bytes", bytes.length)
                    .with("action", "dropped")
                    .info();
        }
    }
}
