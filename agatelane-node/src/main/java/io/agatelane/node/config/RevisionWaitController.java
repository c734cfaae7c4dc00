package io.agatelane.node.config;

import io.agatelane.core.config.command.RevisionWaits;
import io.agatelane.core.config.query.RouterRevision;
import io.agatelane.node.api.Member;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.PeerTransport;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.util.Futures;
import io.agatelane.wire.peer.ConfigQuery;
import io.agatelane.wire.peer.PeerFrame;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Waits until all live routers have a revision in force. Routers announce their revisions by gossip; a router that has
 * not announced the revision is queried directly, which also announces the new revision to it. Runs on the control
 * thread.
 */
final class RevisionWaitController {
    private static final long CHECK_PERIOD_MILLIS = 100;
    // Gossip within a region is usually faster than this.
    private static final long QUERY_DELAY_MILLIS = 500;
    private static final long PEER_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_OPEN_QUERIES = 16;

    private final NodeContext context;
    private final MembershipView membership;
    private final PeerTransport peers;
    private final ConfigReader reader;
    private final RevisionWaits<CompletableFuture<Boolean>> waits = new RevisionWaits<>(QUERY_DELAY_MILLIS);
    private final Set<String> openQueries = new HashSet<>();
    private Subscription membershipChanges = () -> {};
    private Subscription checks;

    RevisionWaitController(NodeContext context, MembershipView membership, PeerTransport peers, ConfigReader reader) {
        this.context = context;
        this.membership = membership;
        this.peers = peers;
        this.reader = reader;
    }

    void start() {
        membershipChanges = membership.onChange(members -> check());
    }

    void close() {
        membershipChanges.cancel();
        stopChecks();
    }

    /** Completes with whether all live routers had the revision before the wait ended. */
    CompletableFuture<Boolean> await(long revision, long waitMillis) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        context.control().execute(() -> {
            waits.add(result, revision, context.timers().monotonicMillis(), waitMillis);
            if (checks == null) {
                checks = context.timers().every("config_rollout", CHECK_PERIOD_MILLIS, this::check);
            }
            check();
        });
        return result;
    }

    void check() {
        if (waits.isEmpty()) {
            return;
        }
        String self = context.settings().vmName();
        List<RouterRevision> live = membership.liveMembers().stream()
                .map(member -> new RouterRevision(
                        member.name(),
                        member.incarnation(),
                        member.name().equals(self) ? reader.revision() : member.configRevision()))
                .toList();
        var evaluation = waits.evaluate(context.timers().monotonicMillis(), live);
        if (waits.isEmpty()) {
            stopChecks();
        }
        evaluation.ended().forEach(ended -> ended.owner().complete(ended.inForceEverywhere()));
        evaluation.routersToQuery().forEach(name -> membership.member(name).ifPresent(this::queryRevision));
    }

    private void queryRevision(Member member) {
        if (openQueries.size() >= MAX_OPEN_QUERIES || !openQueries.add(member.name())) {
            return;
        }
        PeerFrame query = PeerFrame.newBuilder()
                .setConfigQuery(ConfigQuery.newBuilder()
                        .setKnownRevision(reader.revision())
                        .addAllKnownShardVersions(reader.loaded().state().head().shardVersions()))
                .build();
        CompletableFuture<PeerFrame> response = peers.request(member.name(), query, PEER_TIMEOUT_MILLIS);
        Futures.whenDone(response, context.control(), (frame, failure) -> {
            openQueries.remove(member.name());
            if (failure == null) {
                long revision = frame.getConfigAnswer().getHead().getRevision();
                waits.confirm(member.name(), member.incarnation(), revision);
                check();
            }
        });
    }

    private void stopChecks() {
        if (checks != null) {
            checks.cancel();
            checks = null;
        }
    }
}
