package io.agatelane.node.fleet;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import io.agatelane.core.fleet.ConfigProof;
import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.command.PeerLoads.Source;
import io.agatelane.node.api.StoreContent;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.util.EventLog;
import io.agatelane.wire.peer.DigestKind;
import io.agatelane.wire.peer.LoadDigest;
import io.agatelane.wire.peer.StoreContentEntry;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Tells the other routers what this one has in flight, and listens to them. Hints only: packets may be lost. Runs on the
 * control thread.
 *
 * <p>In a small fleet each router tells all others. In a larger one it tells the relay of its availability zone, relays
 * tell each other the sum of their members, and each relay tells its members the sum of all. So a router hears all
 * others within three periods, the packets of the fleet grow with its size and not with its square, and few bytes cross
 * zones. The answer of the relay also proves what the router has read from the store still current, counted from the
 * moment when the router sent what is answered.
 */
public final class LoadGossip {
    private static final EventLog LOG = EventLog.of(LoadGossip.class);
    // Load changes within some hundred milliseconds.
    private static final long PERIOD_MILLIS = 200;
    // Up to this many others, telling each of them costs less than the longer way over relays.
    private static final int MAX_DIRECT = 12;
    // Router to relay, relay to relay, relay to router.
    private static final int RELAYED_STEPS = 3;

    private final FleetState state;
    private final FleetFollower follower;
    private final RouterRegistry registry;
    private final TimerService timers;
    private final RouterEntry self;
    private final long incarnation;
    private final PacketSender sender;
    private final MetricRegistry metrics;
    private final ZoneRelays relays;
    private final RelayOutbox outbox = new RelayOutbox();
    private final SentDigests sent = new SentDigests();
    private Optional<String> relayName = Optional.empty();
    private long sequence;

    /** Sends a packet to another router; it may be lost. */
    @FunctionalInterface
    interface PacketSender {
        void send(InetSocketAddress target, byte[] bytes);
    }

    LoadGossip(
            FleetState state,
            FleetFollower follower,
            RouterRegistry registry,
            TimerService timers,
            RouterEntry self,
            long incarnation,
            PacketSender sender,
            MetricRegistry metrics) {
        this.state = state;
        this.follower = follower;
        this.registry = registry;
        this.timers = timers;
        this.self = self;
        this.incarnation = incarnation;
        this.sender = sender;
        this.metrics = metrics;
        this.relays = new ZoneRelays(self);
    }

    /** Begins to send. */
    void start() {
        timers.every("load-gossip", PERIOD_MILLIS, this::send);
    }

    /** Whether this router passes on what the routers of its zone tell. */
    boolean isRelay() {
        return relays.isRelay();
    }

    /** Time in which every other router hears what this one tells. */
    long roundMillis() {
        return isDirect() ? PERIOD_MILLIS : RELAYED_STEPS * PERIOD_MILLIS;
    }

    private boolean isDirect() {
        return registry.others().size() <= MAX_DIRECT;
    }

    private void send() {
        sequence++;
        long nowMillis = timers.monotonicMillis();
        List<PeerLoad> loads = state.digest(nowMillis);
        Told told = new Told(state.placements().takeUnsent(), state.suspects().takeUnsent());
        if (isDirect()) {
            byte[] packet = digest(DigestKind.DIGEST_KIND_DIRECT, loads, told, state.rolloutHints());
            registry.others().forEach(other -> send(other.address(), packet));
            return;
        }
        RouterEntry relay = relays.relay(registry.others(), nowMillis);
        noteRelay(relay);
        if (!relays.isRelay()) {
            ConfigProof time = new ConfigProof(nowMillis, timers.epochMillis());
            sent.sent(sequence, time, loads, told.placements());
            send(relay.address(), digest(DigestKind.DIGEST_KIND_TO_RELAY, loads, told, state.rolloutHints()));
        }
        List<RelayOutbox.Member> members = outbox.members(nowMillis);
        if (relays.isRelay()) {
            passOn(members, loads, told, state.rolloutHints());
        } else if (!members.isEmpty()) {
            // This router reports to another relay, so its own part must not be passed on from here as well.
            passOn(members, List.of(), Told.NOTHING, RolloutHints.NONE);
        }
    }

    private void noteRelay(RouterEntry relay) {
        if (relayName.equals(Optional.of(relay.vm()))) {
            return;
        }
        LOG.event("gossip_relay")
                .with("relay", relay.vm())
                .with("before", relayName.orElse("none"))
                .info();
        // The new relay speaks for the same routers.
        relayName.ifPresent(state.peers()::forget);
        relayName = Optional.of(relay.vm());
    }

    private void passOn(List<RelayOutbox.Member> members, List<PeerLoad> loads, Told own, RolloutHints ownHints) {
        long nowMillis = timers.monotonicMillis();
        Told forRelays = own.plus(outbox.takeFromMembers());
        byte[] between = digest(
                DigestKind.DIGEST_KIND_BETWEEN_RELAYS,
                state.peers().merged(Set.of(Source.ROUTER), loads, nowMillis),
                forRelays,
                outbox.hintsForRelays(ownHints, nowMillis));
        relays.others(registry.others(), nowMillis).forEach(relay -> send(relay.address(), between));
        Told forMembers = forRelays.plus(outbox.takeFromRelays());
        byte[] toMembers = digest(
                DigestKind.DIGEST_KIND_FROM_RELAY,
                state.peers().merged(EnumSet.allOf(Source.class), loads, nowMillis),
                forMembers,
                outbox.hintsForMembers(ownHints, nowMillis));
        members.forEach(member -> send(member.address(), withAnswer(toMembers, member)));
    }

    // Concatenated messages are merged by the reader, so the common part is encoded once.
    private byte[] withAnswer(byte[] common, RelayOutbox.Member member) {
        LoadDigest.Builder answer = LoadDigest.newBuilder().setAnsweredSequence(member.sequence());
        follower.content()
                .ifPresent(content -> answer.setStore(StoreContentEntry.newBuilder()
                        .setOperatorRevision(content.operator().newestRevision())
                        .setOperatorDigest(content.operator().digest())
                        .setUpstreamsRevision(content.upstreams().newestRevision())
                        .setUpstreamsDigest(content.upstreams().digest())
                        .setAgeMillis(proofAgeMillis())));
        byte[] own = answer.build().toByteArray();
        byte[] packet = new byte[common.length + own.length];
        System.arraycopy(common, 0, packet, 0, common.length);
        System.arraycopy(own, 0, packet, common.length, own.length);
        return packet;
    }

    private long proofAgeMillis() {
        return state.knowledge()
                .proof()
                .map(proof -> proof.ageMillis(timers.monotonicMillis(), timers.epochMillis()))
                .orElse(Long.MAX_VALUE);
    }

    private byte[] digest(DigestKind kind, List<PeerLoad> loads, Told told, RolloutHints hints) {
        LoadDigest.Builder digest = LoadDigest.newBuilder()
                .setKind(kind)
                .setVm(self.vm())
                .setIncarnation(incarnation)
                .setSequence(sequence);
        DigestCodec.addLoads(digest, loads);
        DigestCodec.addTold(digest, told);
        DigestCodec.addHints(digest, hints);
        return digest.build().toByteArray();
    }

    private void send(InetSocketAddress target, byte[] packet) {
        sender.send(target, packet);
        metrics.counter("gossip_packets_sent_total").inc();
        metrics.counter("gossip_bytes_sent_total").inc(packet.length);
    }

    /** Takes a packet. To be called on the control thread. */
    void receive(InetSocketAddress from, byte[] bytes) {
        try {
            take(from, LoadDigest.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            metrics.counter("gossip_unreadable_total").inc();
            LOG.event("gossip_unreadable")
                    .with("bytes", bytes.length)
                    .with("action", "dropped")
                    .info();
        }
    }

    private void take(InetSocketAddress from, LoadDigest digest) {
        long nowMillis = timers.monotonicMillis();
        Told told = DigestCodec.told(digest);
        RolloutHints hints = DigestCodec.hints(digest);
        switch (digest.getKind()) {
            case DIGEST_KIND_DIRECT -> update(digest, Source.ROUTER, DigestCodec.loads(digest));
            case DIGEST_KIND_TO_RELAY -> {
                update(digest, Source.ROUTER, DigestCodec.loads(digest));
                RelayOutbox.Member member =
                        new RelayOutbox.Member(from, digest.getIncarnation(), digest.getSequence(), nowMillis);
                outbox.heardMember(digest.getVm(), member, told, hints);
            }
            case DIGEST_KIND_BETWEEN_RELAYS -> {
                update(digest, Source.RELAY, DigestCodec.loads(digest));
                outbox.heardRelay(digest.getVm(), told, hints, nowMillis);
                registry.others().stream()
                        .filter(other -> other.vm().equals(digest.getVm()))
                        .forEach(relay -> relays.heardOther(relay, nowMillis));
            }
            case DIGEST_KIND_FROM_RELAY -> {
                if (!relays.heard(digest.getVm(), nowMillis)) {
                    // A relay that this router has left; the present one tells the same.
                    return;
                }
                update(digest, Source.RELAY, sent.withoutOwn(DigestCodec.loads(digest)));
                prove(digest);
            }
            default -> LOG.event("gossip_kind_unknown")
                    .with("vm", digest.getVm())
                    .with("action", "hints_only")
                    .info();
        }
        state.heard(hints, nowMillis);
        told.placements().stream().filter(sent::isForeign).forEach(state.placements()::heard);
        told.crashes().forEach(report -> state.suspects().heard(report, nowMillis));
    }

    private void update(LoadDigest digest, Source source, List<PeerLoad> loads) {
        state.peers()
                .update(
                        digest.getVm(),
                        source,
                        digest.getIncarnation(),
                        digest.getSequence(),
                        loads,
                        timers.monotonicMillis());
    }

    private void prove(LoadDigest digest) {
        StoreContentEntry store = digest.getStore();
        if (!digest.hasStore()) {
            return;
        }
        sent.time(digest.getAnsweredSequence())
                .map(time -> time.earlierBy(store.getAgeMillis()))
                .ifPresent(proof -> follower.heard(content(store), proof));
    }

    private static StoreContent content(StoreContentEntry store) {
        return new StoreContent(
                new StoreContent.Part(store.getOperatorRevision(), store.getOperatorDigest()),
                new StoreContent.Part(store.getUpstreamsRevision(), store.getUpstreamsDigest()));
    }
}
