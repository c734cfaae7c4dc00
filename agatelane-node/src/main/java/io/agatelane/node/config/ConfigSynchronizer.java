package io.agatelane.node.config;

import io.agatelane.core.config.Head;
import io.agatelane.core.config.ShardLayout;
import io.agatelane.core.config.query.RouterRanking;
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
 * Keeps the configuration of this router up to date: reads it at the start, watches the head when this router is one of
 * its region's watchers, fetches revisions that peers announce, and serves the queries of peers. Runs on the control
 * thread.
 */
final class ConfigSynchronizer {
    private static final EventLog LOG = EventLog.of(ConfigSynchronizer.class);
    private static final long MAX_START_WAIT_MILLIS = 3_000;
    private static final long MAX_START_PEER_WAIT_MILLIS = 300;
    private static final int START_PEER_COUNT = 2;
    private static final long RETRY_PERIOD_MILLIS = 500;
    private static final int MAX_PEER_FAILURES = 3;
    private static final int MAX_OPEN_PEER_QUERIES = 2;
    private static final long SECOND_PEER_DELAY_MILLIS = 300;
    // Keeps a response well below the frame limit of the peer protocol; the querying router requests the rest again.
    private static final int MAX_RESPONSE_BYTES = 512 * 1024;

    private final NodeContext context;
    private final KeyValueStore store;
    private final MembershipView membership;
    private final PeerTransport peers;
    private final ConfigReader reader;
    private final CompletableFuture<Void> started = new CompletableFuture<>();
    private final Set<String> openPeerQueries = new HashSet<>();
    private Subscription membershipChanges = () -> {};
    private Subscription retries = () -> {};
    private Subscription watch;
    private String announcedBy = "";
    private long announcedRevision;
    private long lastPeerQueryMillis;
    private int peerFailures;
    private boolean platformReadDone;
    private boolean readingPlatform;
    private boolean closed;

    ConfigSynchronizer(
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
        peers.onRequest(PeerFrame.BodyCase.CONFIG_QUERY, this::handleQuery);
        membershipChanges = membership.onChange(members -> membersChanged());
        retries = context.timers().every("config_retry", RETRY_PERIOD_MILLIS, this::retry);
        context.timers().after(MAX_START_WAIT_MILLIS, () -> started.complete(null));
        CompletableFuture<Void> peerReads = readFromPeersAtStart();
        Futures.whenDone(readPlatform(), context.control(), (head, failure) -> {
            if (failure == null) {
                Futures.forward(peerReads, started);
            }
        });
        updateWatch();
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

    /** Handles the announcement that a peer has a revision in force. */
    void revisionAnnounced(String vmName, long revision) {
        if (closed || revision <= reader.revision()) {
            return;
        }
        if (revision > announcedRevision) {
            announcedRevision = revision;
            announcedBy = vmName;
        }
        if (mayQueryPeer()) {
            queryPeer(vmName);
        }
    }

    // All routers announce a change at about the same time, and a query to one of them is enough. A second one is
    // queried when the first responds late.
    private boolean mayQueryPeer() {
        boolean late = context.timers().monotonicMillis() - lastPeerQueryMillis >= SECOND_PEER_DELAY_MILLIS;
        return openPeerQueries.isEmpty() || (late && openPeerQueries.size() < MAX_OPEN_PEER_QUERIES);
    }

    private void queryPeer(String vmName) {
        if (!openPeerQueries.add(vmName)) {
            return;
        }
        lastPeerQueryMillis = context.timers().monotonicMillis();
        long before = reader.revision();
        Futures.whenDone(reader.fetchFromPeer(vmName), context.control(), (unused, failure) -> {
            openPeerQueries.remove(vmName);
            peerReadEnded(vmName, failure);
            peerFailures = failure == null ? 0 : peerFailures + 1;
            // A peer that turns out to have nothing newer is queried again only by the periodic retry, not at once.
            if (failure != null || reader.revision() > before) {
                catchUp();
            }
        });
    }

    private CompletableFuture<Void> readFromPeersAtStart() {
        List<Member> others = others();
        CompletableFuture<Void> peersRead = new CompletableFuture<>();
        if (others.isEmpty()) {
            peersRead.complete(null);
            return peersRead;
        }
        context.timers().after(MAX_START_PEER_WAIT_MILLIS, () -> peersRead.complete(null));
        List<String> names = RouterRanking.ranked(
                "config/start/" + context.settings().vmName(),
                others.stream().map(Member::name).toList(),
                START_PEER_COUNT);
        AtomicInteger openReads = new AtomicInteger(names.size());
        for (String name : names) {
            Futures.whenDone(reader.fetchFromPeer(name), context.control(), (unused, failure) -> {
                peerReadEnded(name, failure);
                if (openReads.decrementAndGet() == 0) {
                    peersRead.complete(null);
                }
            });
        }
        return peersRead;
    }

    private void peerReadEnded(String vmName, AgatelaneException failure) {
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
        CompletableFuture<KeyValue> read = reader.readFromPlatform();
        Futures.whenDone(read, context.control(), (head, failure) -> {
            readingPlatform = false;
            if (failure == null) {
                platformReadDone = true;
            } else {
                LOG.event("config_platform_read_failed")
                        .with("cause", failure.getMessage())
                        .warning();
            }
        });
        return read;
    }

    // Reads the platform again until a read succeeds, and retries announced revisions that could not be fetched.
    private void retry() {
        if (!platformReadDone && !readingPlatform) {
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
        List<Member> membersAhead = others().stream()
                .filter(member -> member.configRevision() > reader.revision()
                        || (announcerAhead && member.name().equals(announcedBy)))
                .toList();
        membersAhead = membersAhead.stream()
                .filter(member -> !openPeerQueries.contains(member.name()))
                .toList();
        if (membersAhead.isEmpty() || !mayQueryPeer()) {
            return;
        }
        if (peerFailures >= MAX_PEER_FAILURES) {
            // The periodic retry then reads the platform; until then, further announcements may still lead to a peer.
            peerFailures = 0;
            platformReadDone = false;
            return;
        }
        Member next = membersAhead.get(peerFailures % membersAhead.size());
        queryPeer(next.name());
    }

    private void membersChanged() {
        updateWatch();
        if (reader.revision() == 0 && !platformReadDone) {
            others().stream().limit(START_PEER_COUNT).forEach(member -> revisionAnnounced(member.name(), 1));
        }
        catchUp();
    }

    private void updateWatch() {
        boolean shouldWatch = !closed
                && RouterRanking.watchers(
                                context.settings().region(), RegionMembers.liveRouterNames(context, membership))
                        .contains(context.settings().vmName());
        if (shouldWatch && watch == null) {
            LOG.event("config_watch_started").info();
            watch = store.watch(ShardLayout.HEAD_KEY, this::headWritten);
            // A read finds the writes from before the watch; at the start that read is already in flight.
            if (!readingPlatform) {
                var unused = readPlatform();
            }
        } else if (!shouldWatch && watch != null) {
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
                // The periodic retry reads the head again.
                platformReadDone = false;
            }
        });
    }

    private CompletableFuture<PeerFrame> handleQuery(String fromVm, PeerFrame frame) {
        ConfigQuery query = frame.getConfigQuery();
        if (query.getKnownRevision() > reader.revision()) {
            revisionAnnounced(fromVm, query.getKnownRevision());
        }
        LoadedConfig loaded = reader.loaded();
        // The querying router has the changes up to its known revision; the change of that revision shows whether the
        // histories are the same.
        Head head = loaded.state().head().withChangesSince(query.getKnownRevision());
        ConfigAnswer.Builder response = ConfigAnswer.newBuilder().setHead(StoreCodec.encode(head));
        if (query.getKnownRevision() < loaded.revision()) {
            addShards(response, query, loaded);
        }
        return CompletableFuture.completedFuture(
                PeerFrame.newBuilder().setConfigAnswer(response).build());
    }

    private static void addShards(ConfigAnswer.Builder response, ConfigQuery query, LoadedConfig loaded) {
        int bytes = 0;
        for (ConfigShard shard : loaded.messages()) {
            int index = shard.getIndex();
            long known = index < query.getKnownShardVersionsCount() ? query.getKnownShardVersions(index) : 0;
            if (shard.getVersion() == 0 || shard.getVersion() == known) {
                continue;
            }
            bytes += shard.getSerializedSize();
            if (bytes > MAX_RESPONSE_BYTES && response.getShardsCount() > 0) {
                return;
            }
            response.addShards(shard);
        }
    }

    private List<Member> others() {
        return membership.liveMembers().stream()
                .filter(member -> !member.name().equals(context.settings().vmName()))
                .toList();
    }
}
