package io.agatelane.node.fleet;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import io.agatelane.core.fleet.ClockReading;
import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.ServiceDemand;
import io.agatelane.core.fleet.command.PeerLoads.Part;
import io.agatelane.core.fleet.command.PeerLoads.Source;
import io.agatelane.core.limits.AccountDemand;
import io.agatelane.node.api.StoreContentId;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.control.Watchdog;
import io.agatelane.node.util.EventLog;
import io.agatelane.wire.peer.DigestKind;
import io.agatelane.wire.peer.LoadDigest;
import io.agatelane.wire.peer.StoreContentEntry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Sends the other routers digests of what this one has in flight, and receives theirs. Digests are only hints, because
 * packets may be lost. Runs on the control thread.
 *
 * <p>In a small fleet each router sends to all others. In a larger one it sends to the relay of its availability zone,
 * relays send each other the sum of their members, and each relay sends its members the sum of all. So the loads of all
 * other routers arrive within three periods, the number of packets grows with the size of the fleet and not with its
 * square, and few bytes cross zones. The response of the relay also verifies that the content which the router has read
 * from the store was still current at the time when the router sent the digest that the relay responds to.
 */
public final class LoadGossip {
    private static final EventLog LOG = EventLog.of(LoadGossip.class);
    // Load changes within a few hundred milliseconds.
    private static final long PERIOD_MILLIS = 200;
    // Other routers forget the load of one that is silent for longer.
    private static final long MAX_SILENT_MILLIS = 2_000;
    // Up to this many other routers, sending to each of them costs less than the longer path over relays.
    private static final int MAX_DIRECT = 12;
    // Router to relay, relay to relay, relay to router.
    private static final int RELAYED_STEPS = 3;
    // Time before the relay forwards at which a digest should arrive: a few delays between VMs and late timers.
    private static final long ARRIVAL_LEAD_MILLIS = 40;
    // Digests of a relay that come irregularly must not hold those of this router back.
    private static final long MAX_PERIOD_MILLIS = 300;
    private static final long UNREADABLE_LOG_MILLIS = 1_000;

    private final FleetState state;
    private final StorePoller poller;
    private final RouterRegistry registry;
    private final TimerService timers;
    private final RouterEntry self;
    private final long incarnation;
    private final PacketSender sender;
    private final MetricRegistry metrics;
    private final ZoneRelays relays;
    private final RelayOutbox outbox = new RelayOutbox();
    private final SentDigests sentDigests = new SentDigests();
    private Optional<String> relayName = Optional.empty();
    private Subscription nextSend = () -> {};
    private Watchdog.Heartbeat heartbeat = Watchdog.Heartbeat.NONE;
    private long sentMillis;
    private long sequence;
    private long lastUnreadableLogMillis = -UNREADABLE_LOG_MILLIS;
    private volatile OwnDemands demands = OwnDemands.NONE;

    /** Demand that this router reports to the others. */
    interface OwnDemands {
        /** Reports nothing. */
        OwnDemands NONE = new OwnDemands() {};

        /** Demand of client accounts with a rate limit. */
        default List<AccountDemand> accounts(long nowMillis) {
            return List.of();
        }

        /** Demand for services. */
        default List<ServiceDemand> services(long nowMillis) {
            return List.of();
        }
    }

    /** Sends a packet to another router; it may be lost. */
    @FunctionalInterface
    interface PacketSender {
        void send(InetSocketAddress target, byte[] bytes);
    }

    LoadGossip(
            FleetState state,
            StorePoller poller,
            RouterRegistry registry,
            TimerService timers,
            RouterEntry self,
            long incarnation,
            PacketSender sender,
            MetricRegistry metrics) {
        this.state = state;
        this.poller = poller;
        this.registry = registry;
        this.timers = timers;
        this.self = self;
        this.incarnation = incarnation;
        this.sender = sender;
        this.metrics = metrics;
        this.relays = new ZoneRelays(self);
    }

    /** Starts sending digests periodically. */
    void start() {
        scheduleSend(PERIOD_MILLIS);
    }

    /** Lets a watchdog start the sending again if it stops. */
    void watch(Watchdog watchdog) {
        heartbeat = watchdog.watch("load-gossip", MAX_SILENT_MILLIS, () -> {
            nextSend.cancel();
            scheduleSend(PERIOD_MILLIS);
        });
    }

    private void scheduleSend(long delayMillis) {
        nextSend = timers.after(delayMillis, () -> {
            heartbeat.beat();
            scheduleSend(PERIOD_MILLIS);
            send();
        });
    }

    // A digest that arrives just before the relay forwards is not a period old when it is forwarded.
    private void alignWithRelay(long nowMillis) {
        long delayMillis = PERIOD_MILLIS - ARRIVAL_LEAD_MILLIS;
        if (nowMillis + delayMillis - sentMillis <= MAX_PERIOD_MILLIS) {
            nextSend.cancel();
            scheduleSend(delayMillis);
        }
    }

    /** Sets the demands to report to the other routers. */
    void setDemands(OwnDemands newDemands) {
        demands = newDemands;
    }

    /** Whether this router forwards the digests of the routers of its zone. */
    boolean isRelay() {
        return relays.isRelay();
    }

    /** Time within which a digest of this router reaches all others. */
    long propagationMillis() {
        return isDirect() ? PERIOD_MILLIS : RELAYED_STEPS * PERIOD_MILLIS;
    }

    private boolean isDirect() {
        return registry.others().size() <= MAX_DIRECT;
    }

    private void send() {
        sequence++;
        long nowMillis = timers.monotonicMillis();
        sentMillis = nowMillis;
        DigestContent own = new DigestContent(
                state.reportedLoads(nowMillis),
                0,
                ownEvents(nowMillis),
                state.rolloutHints(),
                demands.accounts(nowMillis),
                demands.services(nowMillis));
        if (isDirect()) {
            List<byte[]> datagrams = digest(DigestKind.DIGEST_KIND_DIRECT, own);
            registry.others().forEach(other -> send(other.address(), datagrams));
            return;
        }
        RouterEntry relay = relays.selectRelay(registry.others(), nowMillis);
        recordRelay(relay);
        if (!relays.isRelay()) {
            ClockReading sentAt = new ClockReading(nowMillis, timers.epochMillis());
            sentDigests.recordSent(sequence, sentAt, own);
            send(relay.address(), digest(DigestKind.DIGEST_KIND_TO_RELAY, own));
        }
        List<RelayOutbox.Member> members = outbox.members(nowMillis);
        if (relays.isRelay()) {
            forward(members, own);
        } else if (!members.isEmpty()) {
            // This router reports to another relay, so its own loads must not be forwarded from here as well. What it
            // repeats is all that its members get to know of the crashes which the other relay was told of.
            forward(members, DigestContent.empty().withEvents(own.events().repeatable(), RolloutHints.NONE));
        }
    }

    // Reports stay until there is another router to send them to.
    private DigestEvents ownEvents(long nowMillis) {
        if (registry.others().isEmpty()) {
            return DigestEvents.NONE;
        }
        return new DigestEvents(
                state.placements().takeUnsent(),
                state.suspects().takeReports(nowMillis),
                state.partSuspects().takeReports(nowMillis));
    }

    private void recordRelay(RouterEntry relay) {
        if (relayName.equals(Optional.of(relay.vm()))) {
            return;
        }
        LOG.event("gossip_relay")
                .with("relay", relay.vm())
                .with("before", relayName.orElse("none"))
                .info();
        // The new relay reports the loads of the same routers.
        relayName.ifPresent(state::removePeer);
        relayName = Optional.of(relay.vm());
    }

    private void forward(List<RelayOutbox.Member> members, DigestContent own) {
        long nowMillis = timers.monotonicMillis();
        DigestEvents forRelays = own.events().plus(outbox.takeFromMembers());
        List<byte[]> between = digest(
                DigestKind.DIGEST_KIND_BETWEEN_RELAYS,
                sum(EnumSet.of(Source.ROUTER), own, nowMillis)
                        .withEvents(forRelays, outbox.hintsForRelays(own.hints(), nowMillis)));
        relays.otherZoneRelays(registry.others(), nowMillis).forEach(relay -> send(relay.address(), between));
        DigestEvents forMembers = forRelays.plus(outbox.takeFromRelays());
        List<byte[]> toMembers = digest(
                DigestKind.DIGEST_KIND_FROM_RELAY,
                sum(EnumSet.allOf(Source.class), own, nowMillis)
                        .withEvents(forMembers, outbox.hintsForMembers(own.hints(), nowMillis)));
        members.forEach(member -> {
            List<byte[]> datagrams = new ArrayList<>(toMembers);
            datagrams.set(0, withResponse(toMembers.get(0), member));
            send(member.address(), datagrams);
        });
    }

    private DigestContent sum(Set<Source> sources, DigestContent own, long nowMillis) {
        return own.withSums(
                state.peers().sumForRelay(sources, own.loads(), nowMillis),
                state.peers().meanAgeMillis(sources, nowMillis),
                state.peerAccounts().sums(sources, byAccount(own), nowMillis).values(),
                state.peerServices().sums(sources, byKey(own), nowMillis).values());
    }

    private static Map<Long, AccountDemand> byAccount(DigestContent content) {
        return content.accounts().stream().collect(Collectors.toMap(AccountDemand::account, Function.identity()));
    }

    private static Map<ServiceDemand.Key, ServiceDemand> byKey(DigestContent content) {
        return content.services().stream().collect(Collectors.toMap(ServiceDemand::key, Function.identity()));
    }

    // Protobuf parsers merge concatenated messages, so the common part is encoded only once.
    private byte[] withResponse(byte[] common, RelayOutbox.Member member) {
        LoadDigest.Builder response = LoadDigest.newBuilder().setAnsweredSequence(member.sequence());
        poller.content()
                .ifPresent(content -> response.setStore(StoreContentEntry.newBuilder()
                        .setEra(content.era())
                        .setConfigVersion(poller.configVersionForPeers())
                        .setOperatorRevision(content.operatorEntries().newestRevision())
                        .setOperatorDigest(content.operatorEntries().digest())
                        .setUpstreamsRevision(content.upstreamEntries().newestRevision())
                        .setUpstreamsDigest(content.upstreamEntries().digest())
                        .setAgeMillis(configAgeMillis())));
        byte[] own = response.build().toByteArray();
        byte[] packet = new byte[common.length + own.length];
        System.arraycopy(common, 0, packet, 0, common.length);
        System.arraycopy(own, 0, packet, common.length, own.length);
        return packet;
    }

    private long configAgeMillis() {
        return state.snapshot()
                .configVerifiedAt()
                .map(verifiedAt -> verifiedAt.ageMillis(timers.monotonicMillis(), timers.epochMillis()))
                .orElse(Long.MAX_VALUE);
    }

    private List<byte[]> digest(DigestKind kind, DigestContent content) {
        LoadDigest.Builder header = LoadDigest.newBuilder()
                .setKind(kind)
                .setVm(self.vm())
                .setIncarnation(incarnation)
                .setSequence(sequence);
        long configVersion = poller.configVersionForPeers();
        // A digest from a relay states it with the content, once for each receiver.
        if (configVersion > 0 && kind != DigestKind.DIGEST_KIND_FROM_RELAY) {
            header.setStore(StoreContentEntry.newBuilder().setConfigVersion(configVersion));
        }
        return DigestDatagrams.encode(header.build(), content);
    }

    private void send(InetSocketAddress target, List<byte[]> datagrams) {
        for (byte[] datagram : datagrams) {
            sender.send(target, datagram);
            metrics.counter("gossip_packets_sent_total").inc();
            metrics.counter("gossip_bytes_sent_total").inc(datagram.length);
        }
    }

    /** Processes a datagram. Must be called on the control thread. */
    void receive(InetSocketAddress from, byte[] bytes) {
        try {
            process(from, LoadDigest.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            recordUnreadable(bytes.length);
        }
    }

    // One line a period: a sender whose datagrams cannot be read sends them periodically.
    private void recordUnreadable(int bytes) {
        metrics.counter("gossip_unreadable_total").inc();
        long nowMillis = timers.monotonicMillis();
        if (nowMillis - lastUnreadableLogMillis >= UNREADABLE_LOG_MILLIS) {
            lastUnreadableLogMillis = nowMillis;
            LOG.event("gossip_unreadable")
                    .with("bytes", bytes)
                    .with("total", metrics.counter("gossip_unreadable_total").getCount())
                    .with("action", "dropped")
                    .info();
        }
    }

    private void process(InetSocketAddress from, LoadDigest digest) {
        long nowMillis = timers.monotonicMillis();
        DigestEvents events = DigestCodec.events(digest);
        RolloutHints hints = DigestCodec.hints(digest);
        poller.recordPeerConfig(digest.getStore().getConfigVersion());
        events.crashes().forEach(report -> state.suspects().mergeReport(report, nowMillis));
        events.partReports().forEach(report -> state.partSuspects().merge(report, nowMillis));
        switch (digest.getKind()) {
            case DIGEST_KIND_DIRECT -> update(digest, Source.ROUTER);
            case DIGEST_KIND_TO_RELAY -> {
                update(digest, Source.ROUTER);
                RelayOutbox.Member member =
                        new RelayOutbox.Member(from, digest.getIncarnation(), digest.getSequence(), nowMillis);
                outbox.receivedFromMember(digest.getVm(), member, events, hints);
            }
            case DIGEST_KIND_BETWEEN_RELAYS -> {
                // Otherwise the relay of this router reports the same loads.
                if (relays.isRelay() || isDirect()) {
                    update(digest, Source.RELAY);
                }
                outbox.receivedFromRelay(digest.getVm(), events, hints, nowMillis);
                registry.others().stream()
                        .filter(other -> other.vm().equals(digest.getVm()))
                        .forEach(relay -> relays.receivedFromOtherZone(relay, nowMillis));
            }
            case DIGEST_KIND_FROM_RELAY -> {
                if (!relays.receivedFrom(digest.getVm(), nowMillis)) {
                    // A former relay of this router; the current one sends the same loads.
                    return;
                }
                // Only the first datagram of a digest has this field.
                if (digest.getAnsweredSequence() > 0) {
                    sentDigests.recordAnswered(digest.getAnsweredSequence());
                    alignWithRelay(nowMillis);
                }
                update(
                        digest,
                        Source.RELAY,
                        sentDigests.withoutOwn(DigestCodec.loads(digest)),
                        sentDigests.accountsWithoutOwn(DigestCodec.accounts(digest)),
                        sentDigests.servicesWithoutOwn(DigestCodec.services(digest)));
                verifyContent(digest);
            }
            default -> LOG.event("gossip_kind_unknown")
                    .with("vm", digest.getVm())
                    .with("action", "hints_only")
                    .info();
        }
        state.applyHints(hints, nowMillis);
        events.placements().stream().filter(sentDigests::isForeign).forEach(state.placements()::recordFromPeer);
    }

    private void update(LoadDigest digest, Source source) {
        update(digest, source, DigestCodec.loads(digest), DigestCodec.accounts(digest), DigestCodec.services(digest));
    }

    private void update(
            LoadDigest digest,
            Source source,
            List<PeerLoad> loads,
            Map<Long, AccountDemand> accounts,
            Map<ServiceDemand.Key, ServiceDemand> services) {
        long nowMillis = timers.monotonicMillis();
        String vm = digest.getVm();
        long start = digest.getIncarnation();
        Part part =
                new Part(digest.getSequence(), DigestCodec.range(digest), Math.max(0, digest.getAgeMillis()), loads);
        if (!part.range().isEmpty()) {
            state.peers().update(vm, source, start, part, nowMillis);
        }
        state.peerAccounts().update(vm, source, start, digest.getSequence(), accounts, nowMillis);
        state.peerServices().update(vm, source, start, digest.getSequence(), services, nowMillis);
    }

    private void verifyContent(LoadDigest digest) {
        StoreContentEntry store = digest.getStore();
        if (!digest.hasStore()) {
            return;
        }
        sentDigests
                .sentAt(digest.getAnsweredSequence())
                .map(sentAt -> sentAt.earlierBy(store.getAgeMillis()))
                .ifPresent(verifiedAt -> poller.compareWithRelay(content(store), verifiedAt));
    }

    private static StoreContentId content(StoreContentEntry store) {
        return new StoreContentId(
                store.getEra(),
                new StoreContentId.EntrySetId(store.getOperatorRevision(), store.getOperatorDigest()),
                new StoreContentId.EntrySetId(store.getUpstreamsRevision(), store.getUpstreamsDigest()));
    }
}
