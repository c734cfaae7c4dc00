package io.agatelane.node.io.gossip;

import com.codahale.metrics.Gauge;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.hash.Rendezvous;
import io.agatelane.core.membership.Hint;
import io.agatelane.core.membership.MemberRecord;
import io.agatelane.core.membership.MemberStatus;
import io.agatelane.core.membership.SwimListener;
import io.agatelane.core.membership.SwimMessage;
import io.agatelane.core.membership.SwimSettings;
import io.agatelane.core.membership.command.SwimProtocol;
import io.agatelane.core.membership.query.MembershipSnapshot;
import io.agatelane.core.membership.query.SwimCounter;
import io.agatelane.node.api.GossipHintExchange;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.Member;
import io.agatelane.node.api.MemberState;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.cfg.Settings;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.SocketAddresses;
import io.agatelane.wire.peer.AccountUsage;
import io.agatelane.wire.peer.Quarantine;
import io.agatelane.wire.peer.UpstreamDigest;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * SWIM membership of the routers and exchange of hints over UDP. The protocol runs on the control thread; queries and
 * {@code publish} are safe on every thread.
 */
public final class GossipMembership implements MembershipView, GossipHintExchange, AutoCloseable {
    private static final EventLog LOG = EventLog.of(GossipMembership.class);

    private final NodeContext context;
    private final MemberKeys memberKeys;
    private final SwimProtocol protocol;
    private final long healPeriodMillis;
    private final List<Consumer<List<Member>>> changeListeners = new CopyOnWriteArrayList<>();
    private final List<BiConsumer<String, Long>> revisionListeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<UpstreamDigest>> digestListeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<Quarantine>> quarantineListeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<AccountUsage>> usageListeners = new CopyOnWriteArrayList<>();
    private final List<Subscription> timers = new ArrayList<>();
    private volatile View view;
    private volatile UdpSocket socket;
    private volatile boolean closed;

    public GossipMembership(NodeContext context, KeyValueStore store) {
        this(context, store, SwimSettings.DEFAULT);
    }

    GossipMembership(NodeContext context, KeyValueStore store, SwimSettings swimSettings) {
        this.context = context;
        this.memberKeys = new MemberKeys(store);
        this.healPeriodMillis = swimSettings.healPeriodMillis();
        Settings settings = context.settings();
        MemberRecord self = new MemberRecord(
                settings.vmName(),
                MemberStatus.ALIVE,
                context.incarnation(),
                SocketAddresses.format(settings.peerAddress()),
                settings.availabilityZone(),
                settings.region(),
                0);
        long seed = settings.randomSeed() != 0
                ? settings.randomSeed() ^ Rendezvous.hash(settings.vmName())
                : Rendezvous.hash(settings.vmName()) ^ context.incarnation();
        this.protocol = new SwimProtocol(swimSettings, self, seed, new ProtocolListener());
        this.view = View.of(protocol.snapshot());
        registerCounters();
    }

    /**
     * Binds the socket and starts to join the fleet; returns without waiting for other routers or the platform.
     *
     * @throws AgatelaneException with {@code INVALID_SETTINGS} when the address cannot be bound or a seed is malformed
     */
    public void start() {
        Settings settings = context.settings();
        List<String> seeds = new ArrayList<>();
        for (InetSocketAddress seed : settings.seeds()) {
            String text = SocketAddresses.format(seed);
            if (SocketAddresses.parse(text).isEmpty()) {
                throw new AgatelaneException(
                                FailureType.INVALID_SETTINGS, "the seed " + text + " is not of the form IP:PORT")
                        .withLocation("/seeds");
            }
            seeds.add(text);
        }
        socket = UdpSocket.bind(settings.peerAddress(), "gossip-" + settings.vmName(), this::packetReceived);
        InetSocketAddress bound = new InetSocketAddress(settings.peerAddress().getAddress(), socket.port());
        context.control().execute(() -> {
            protocol.setAddress(SocketAddresses.format(bound));
            protocol.start(seeds, now());
            timers.add(context.timers().every("gossip", SwimProtocol.TICK_MILLIS, this::tick));
            timers.add(context.timers().every("members", healPeriodMillis, this::readMemberKeys));
            refreshView();
            MemberRecord self = protocol.snapshot().self();
            readMemberKeys();
            LOG.event("membership_started")
                    .with("vm", self.name())
                    .with("address", self.address())
                    .with("incarnation", Long.toString(self.incarnation()))
                    .info();
        });
    }

    /** The bound UDP port. */
    public int port() {
        return socket.port();
    }

    /** Sets the configuration revision in force on this router and announces it to the other routers. */
    public void setConfigRevision(long revision) {
        context.control().execute(() -> {
            protocol.setConfigRevision(revision);
            refreshView();
        });
    }

    /**
     * Registers a listener that is called on the control thread with a peer's name and configuration revision when that
     * peer announces a higher revision than before.
     */
    public void onConfigRevision(BiConsumer<String, Long> listener) {
        revisionListeners.add(listener);
    }

    /** Announces to the other routers that this one is leaving and accepts no new requests. */
    public void announceLeaving() {
        context.control().execute(() -> {
            protocol.announceLeaving(now());
            refreshView();
        });
    }

    @Override
    public void close() {
        closed = true;
        context.control().execute(() -> timers.forEach(Subscription::cancel));
        UdpSocket open = socket;
        if (open != null) {
            open.close();
        }
    }

    @Override
    public Member self() {
        return view.self;
    }

    @Override
    public List<Member> members() {
        return view.members;
    }

    @Override
    public Optional<Member> member(String name) {
        return view.members.stream()
                .filter(member -> member.name().equals(name))
                .findFirst();
    }

    @Override
    public Subscription onChange(Consumer<List<Member>> listener) {
        changeListeners.add(listener);
        return () -> changeListeners.remove(listener);
    }

    @Override
    public void publish(UpstreamDigest digest) {
        publish(GossipHint.of(digest));
    }

    @Override
    public void publish(Quarantine quarantine) {
        publish(GossipHint.of(quarantine));
    }

    @Override
    public void publish(AccountUsage usage) {
        publish(GossipHint.of(usage));
    }

    @Override
    public void onUpstreamDigest(Consumer<UpstreamDigest> listener) {
        digestListeners.add(listener);
    }

    @Override
    public void onQuarantine(Consumer<Quarantine> listener) {
        quarantineListeners.add(listener);
    }

    @Override
    public void onAccountUsage(Consumer<AccountUsage> listener) {
        usageListeners.add(listener);
    }

    private void publish(GossipHint hint) {
        context.control().execute(() -> protocol.publish(hint, now()));
    }

    private long now() {
        return context.timers().monotonicMillis();
    }

    private void tick() {
        if (!closed) {
            protocol.tick(now());
            refreshView();
        }
    }

    private void packetReceived(InetSocketAddress from, byte[] bytes) {
        SwimMessage message;
        try {
            message = GossipCodec.decode(ByteBuffer.wrap(bytes));
        } catch (AgatelaneException e) {
            context.metrics().counter("gossip.malformed").inc();
            return;
        }
        context.control().execute(() -> {
            if (!closed) {
                protocol.receive(SocketAddresses.format(from), message, now());
                refreshView();
            }
        });
    }

    private void readMemberKeys() {
        memberKeys.read(members -> context.control().execute(() -> {
            if (!closed) {
                protocol.updatePlatformMembers(members, now());
                refreshView();
                writeOwnKeyIfMissing(members);
            }
        }));
    }

    /** Writes this router's entry at start, and again if the platform was unavailable then or lost the entry. */
    private void writeOwnKeyIfMissing(List<MemberRecord> listed) {
        MemberRecord self = protocol.snapshot().self();
        boolean current = listed.stream()
                .anyMatch(entry -> entry.name().equals(self.name())
                        && entry.address().equals(self.address())
                        && entry.incarnation() >= context.incarnation());
        if (!current) {
            memberKeys.write(self);
        }
    }

    private void refreshView() {
        if (view.version == protocol.version()) {
            return;
        }
        View next = View.of(protocol.snapshot());
        view = next;
        changeListeners.forEach(listener -> listener.accept(next.members));
    }

    private void registerCounters() {
        for (SwimCounter counter : SwimCounter.values()) {
            String name = "gossip." + counter.name().toLowerCase(Locale.ROOT);
            Gauge<Long> gauge = () -> protocol.counters().get(counter);
            context.metrics().gauge(name, () -> gauge);
        }
    }

    private final class ProtocolListener implements SwimListener {
        @Override
        public void send(String address, SwimMessage message) {
            UdpSocket open = socket;
            if (open != null && !closed) {
                SocketAddresses.parse(address).ifPresent(target -> open.send(target, GossipCodec.encode(message)));
            }
        }

        @Override
        public void memberChanged(Optional<MemberRecord> before, MemberRecord after) {
            Optional<MemberStatus> oldStatus = before.map(MemberRecord::status);
            if (oldStatus.isPresent() && oldStatus.get() == after.status()) {
                return;
            }
            LOG.event("member_changed")
                    .with("vm", context.settings().vmName())
                    .with("member", after.name())
                    .with("from", oldStatus.map(Enum::name).orElse("UNKNOWN"))
                    .with("to", after.status())
                    .with("incarnation", Long.toString(after.incarnation()))
                    .with("address", after.address())
                    .info();
        }

        @Override
        public void configRevisionReceived(String name, long revision) {
            revisionListeners.forEach(listener -> listener.accept(name, revision));
        }

        @Override
        public void hintReceived(Hint hint) {
            Object message = ((GossipHint) hint).message();
            if (message instanceof UpstreamDigest digest) {
                digestListeners.forEach(listener -> listener.accept(digest));
            } else if (message instanceof Quarantine quarantine) {
                quarantineListeners.forEach(listener -> listener.accept(quarantine));
            } else if (message instanceof AccountUsage usage) {
                usageListeners.forEach(listener -> listener.accept(usage));
            }
        }

        @Override
        public void memberForgotten(MemberRecord last) {
            LOG.event("member_forgotten").with("member", last.name()).info();
            // One live router, chosen by rendezvous hashing, deletes the key; the others would repeat the same call.
            List<Member> live = liveMembers();
            int chosen = Rendezvous.indexOfHighest(
                    Rendezvous.hash(last.name()), live, member -> Rendezvous.hash(member.name()));
            if (chosen >= 0 && live.get(chosen).name().equals(self().name())) {
                memberKeys.delete(last);
            }
        }
    }

    /** Immutable membership snapshot that other threads read. */
    private static final class View {
        private final long version;
        private final Member self;
        private final List<Member> members;

        private View(long version, Member self, List<Member> members) {
            this.version = version;
            this.self = self;
            this.members = members;
        }

        private static View of(MembershipSnapshot snapshot) {
            return new View(
                    snapshot.version(),
                    toMember(snapshot.self()),
                    snapshot.members().stream().map(View::toMember).toList());
        }

        private static Member toMember(MemberRecord entry) {
            return new Member(
                    entry.name(),
                    entry.incarnation(),
                    MemberState.valueOf(entry.status().name()),
                    entry.address(),
                    entry.availabilityZone(),
                    entry.configRevision());
        }
    }
}
