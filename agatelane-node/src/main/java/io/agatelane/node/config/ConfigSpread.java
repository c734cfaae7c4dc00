package io.agatelane.node.config;

import io.agatelane.core.config.Head;
import io.agatelane.core.config.ShardLayout;
import io.agatelane.core.config.query.WatcherChoice;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.Member;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.PeerTransport;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import io.agatelane.wire.peer.ConfigAnswer;
import io.agatelane.wire.peer.ConfigQuery;
import io.agatelane.wire.peer.PeerFrame;
import io.agatelane.wire.store.ConfigShard;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Decides from where this router learns about new revisions: the first start, the watch of the head when this router is
 * one of its region's watchers, announcements of peers, and answers to peers. Runs on the control thread.
 */
final class ConfigSpread {
    private static final EventLog LOG = EventLog.of(ConfigSpread.class);
    private static final long MAX_START_MILLIS = 3_000;
    private static final long PEERS_AT_START_MILLIS = 300;
    private static final int PEERS_AT_START = 2;
    private static final long RETRY_MILLIS = 500;
    private static final int MAX_PEER_FAILURES = 3;
    private static final int MAX_OPEN_PEER_READS = 2;
    private static final long PEER_LATE_MILLIS = 300;
    // Keeps an answer well below the frame limit of the peer protocol; the caller asks again for the rest.
    private static final int MAX_ANSWER_BYTES = 512 * 1024;

    private final NodeContext context;
    private final KeyValueStore store;
    private final MembershipView membership;
    private final PeerTransport peers;
    private final ConfigReader reader;
    private final CompletableFuture<Void> started = new CompletableFuture<>();
    private final Set<String> asked = new HashSet<>();
    private Subscription membershipChanges = () -> {};
    private Subscription retries = () -> {};
    private Subscription watch;
    private String announcedBy = "";
    private long announcedRevision;
    private long lastAskedMillis;
    private int peerFailures;
    private boolean platformRead;
    private boolean readingPlatform;
    private boolean closed;

    ConfigSpread(
            NodeContext context,
            KeyValueStore store,
            MembershipView membership,
            PeerTransport peers,
            ConfigReader reader) {
        this.context = context;
        this.store = store;
        this.membership = membership;
        this.peers = peers;
        this.reader = reader;
    }

    CompletableFuture<Void> start() {
        peers.onRequest(PeerFrame.BodyCase.CONFIG_QUERY, this::answer);
        membershipChanges = membership.onChange(members -> membersChanged());
        retries = context.timers().every("config_retry", RETRY_MILLIS, this::retry);
        context.timers().after(MAX_START_MILLIS, () -> started.complete(null));
        CompletableFuture<Void> peerReads = readFromPeersAtStart();
        Futures.whenDone(readPlatform(), context.control(), (head, failure) -> {
            if (failure == null) {
                Futures.forward(peerReads, started);
            }
        });
        chooseWatch();
        return started;
    }

    void close() {
        closed = true;
        membershipChanges.cancel();
        retries.cancel();
        if (watch != null) {
            watch.cancel();
        }
    }

    /** A peer has a revision. */
    void announced(String vmName, long revision) {
        if (closed || revision <= reader.revision()) {
            return;
        }
        if (revision > announcedRevision) {
            announcedRevision = revision;
            announcedBy = vmName;
        }
        if (mayAskPeer()) {
            askPeer(vmName);
        }
    }

    // All routers announce a change at about the same time, and one of them is enough. A second one is asked when the
    // first is late.
    private boolean mayAskPeer() {
        boolean late = context.timers().monotonicMillis() - lastAskedMillis >= PEER_LATE_MILLIS;
        return asked.isEmpty() || (late && asked.size() < MAX_OPEN_PEER_READS);
    }

    private void askPeer(String vmName) {
        if (!asked.add(vmName)) {
            return;
        }
        lastAskedMillis = context.timers().monotonicMillis();
        long before = reader.revision();
        Futures.whenDone(reader.fromPeer(vmName), context.control(), (unused, failure) -> {
            asked.remove(vmName);
            peerAnswered(vmName, failure);
            peerFailures = failure == null ? 0 : peerFailures + 1;
            // A peer that has nothing newer after all is not asked again at once; the regular retry does that.
            if (failure != null || reader.revision() > before) {
                catchUp();
            }
        });
    }

    private CompletableFuture<Void> readFromPeersAtStart() {
        List<Member> others = others();
        CompletableFuture<Void> settled = new CompletableFuture<>();
        if (others.isEmpty()) {
            settled.complete(null);
            return settled;
        }
        context.timers().after(PEERS_AT_START_MILLIS, () -> settled.complete(null));
        List<String> names = WatcherChoice.ranked(
                "config/start/" + context.settings().vmName(),
                others.stream().map(Member::name).toList(),
                PEERS_AT_START);
        AtomicInteger open = new AtomicInteger(names.size());
        for (String name : names) {
            Futures.whenDone(reader.fromPeer(name), context.control(), (unused, failure) -> {
                peerAnswered(name, failure);
                if (open.decrementAndGet() == 0) {
                    settled.complete(null);
                }
            });
        }
        return settled;
    }

    private void peerAnswered(String vmName, AgatelaneException failure) {
        if (failure != null) {
            LOG.event("config_peer_failed")
                    .with("vm", vmName)
                    .with("cause", failure.getMessage())
                    .warning();
        } else if (reader.revision() > 0) {
            started.complete(null);
        }
    }

    private CompletableFuture<KeyValue> readPlatform() {
        readingPlatform = true;
        CompletableFuture<KeyValue> read = reader.fromPlatform();
        Futures.whenDone(read, context.control(), (head, failure) -> {
            readingPlatform = false;
            if (failure == null) {
                platformRead = true;
            } else {
                LOG.event("config_platform_read_failed")
                        .with("cause", failure.getMessage())
                        .warning();
            }
        });
        return read;
    }

    // Until the first successful read, the platform is asked again; announcements that failed are tried again.
    private void retry() {
        if (!platformRead && !readingPlatform) {
            Futures.whenDone(readPlatform(), context.control(), (head, failure) -> {
                if (failure == null) {
                    started.complete(null);
                }
            });
        }
        catchUp();
    }

    private void catchUp() {
        boolean announcerAhead = announcedRevision > reader.revision();
        List<Member> ahead = others().stream()
                .filter(member -> member.configRevision() > reader.revision()
                        || (announcerAhead && member.name().equals(announcedBy)))
                .toList();
        ahead = ahead.stream().filter(member -> !asked.contains(member.name())).toList();
        if (ahead.isEmpty() || !mayAskPeer()) {
            return;
        }
        if (peerFailures >= MAX_PEER_FAILURES) {
            // The regular retry reads the platform; meanwhile announcements may still reach a peer.
            peerFailures = 0;
            platformRead = false;
            return;
        }
        Member next = ahead.get(peerFailures % ahead.size());
        askPeer(next.name());
    }

    private void membersChanged() {
        chooseWatch();
        if (reader.revision() == 0 && !platformRead) {
            others().stream().limit(PEERS_AT_START).forEach(member -> announced(member.name(), 1));
        }
        catchUp();
    }

    private void chooseWatch() {
        boolean wanted = !closed
                && WatcherChoice.watchers(context.settings().region(), Regions.routersOf(context, membership))
                        .contains(context.settings().vmName());
        if (wanted && watch == null) {
            LOG.event("config_watch_started").info();
            watch = store.watch(ShardLayout.HEAD_KEY, this::headWritten);
            // Writes before the watch are found by a read; at the start that read is already on its way.
            if (!readingPlatform) {
                var unused = readPlatform();
            }
        } else if (!wanted && watch != null) {
            LOG.event("config_watch_ended").info();
            watch.cancel();
            watch = null;
        }
    }

    private void headWritten(KeyValue head) {
        Futures.whenDone(reader.advanceTo(head), context.control(), (unused, failure) -> {
            if (failure != null) {
                LOG.event("config_head_not_applied")
                        .with("cause", failure.getMessage())
                        .warning();
                // The regular retry reads the head again.
                platformRead = false;
            }
        });
    }

    private CompletableFuture<PeerFrame> answer(String fromVm, PeerFrame frame) {
        ConfigQuery query = frame.getConfigQuery();
        if (query.getKnownRevision() > reader.revision()) {
            announced(fromVm, query.getKnownRevision());
        }
        LoadedConfig loaded = reader.loaded();
        // The caller has the changes up to the revision that it knows; that one shows that the histories are the same.
        Head head = loaded.state().head().withChangesSince(query.getKnownRevision());
        ConfigAnswer.Builder answer = ConfigAnswer.newBuilder().setHead(StoreCodec.encode(head));
        if (query.getKnownRevision() < loaded.revision()) {
            addShards(answer, query, loaded);
        }
        return CompletableFuture.completedFuture(
                PeerFrame.newBuilder().setConfigAnswer(answer).build());
    }

    private static void addShards(ConfigAnswer.Builder answer, ConfigQuery query, LoadedConfig loaded) {
        int bytes = 0;
        for (ConfigShard shard : loaded.messages()) {
            int index = shard.getIndex();
            long known = index < query.getKnownShardVersionsCount() ? query.getKnownShardVersions(index) : 0;
            if (shard.getVersion() == 0 || shard.getVersion() == known) {
                continue;
            }
            bytes += shard.getSerializedSize();
            if (bytes > MAX_ANSWER_BYTES && answer.getShardsCount() > 0) {
                return;
            }
            answer.addShards(shard);
        }
    }

    private List<Member> others() {
        return membership.liveMembers().stream()
                .filter(member -> !member.name().equals(context.settings().vmName()))
                .toList();
    }
}
