package io.agatelane.core.membership.command;

import io.agatelane.core.membership.Hint;
import io.agatelane.core.membership.MemberRecord;
import io.agatelane.core.membership.MemberStatus;
import io.agatelane.core.membership.SwimListener;
import io.agatelane.core.membership.SwimMessage;
import io.agatelane.core.membership.SwimSettings;
import io.agatelane.core.membership.command.ByteBudget.Priority;
import io.agatelane.core.membership.query.MembershipSnapshot;
import io.agatelane.core.membership.query.SwimCounter;
import io.agatelane.core.membership.query.SwimCounters;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.apache.commons.rng.simple.JDKRandomBridge;
import org.apache.commons.rng.simple.RandomSource;

/**
 * SWIM membership with suspicion and refutation. Not thread-safe except for the counters. All times are monotonic
 * milliseconds.
 */
public final class SwimProtocol {
    /** Interval at which {@link #tick} must be called. */
    public static final long TICK_MILLIS = 50;

    /** Number of members that a leaving member notifies at once; piggybacked updates reach the others. */
    private static final int LEAVING_FANOUT = 5;

    private final SwimSettings settings;
    private final SwimCounters counters = new SwimCounters();
    private final DisseminationQueue disseminationQueue = new DisseminationQueue();
    private final Random random;
    private final MemberTable table;
    private final PacketSender packetSender;
    private final Prober prober;
    private final TableSync tableSync;
    private final HintExchange hintExchange;
    private final RevisionFanout revisionFanout;
    private long lastTickMillis;
    private long nextGossipMillis;

    public SwimProtocol(SwimSettings settings, MemberRecord self, long seed, SwimListener listener) {
        this.settings = settings;
        this.random = new JDKRandomBridge(RandomSource.XO_RO_SHI_RO_128_PP, seed);
        this.table = new MemberTable(settings, self, listener, counters, disseminationQueue, this::memberForgotten);
        this.packetSender = new PacketSender(settings, table, disseminationQueue, listener, counters);
        this.prober = new Prober(settings, table, packetSender, counters, random);
        this.tableSync = new TableSync(settings, table, packetSender, random);
        this.hintExchange = new HintExchange(settings, table, packetSender, disseminationQueue, listener, counters);
        this.revisionFanout = new RevisionFanout(table, packetSender);
    }

    /** Starts to join the other members through the addresses of the seeds. */
    public void start(List<String> seedAddresses, long nowMillis) {
        lastTickMillis = nowMillis;
        nextGossipMillis = nowMillis + random.nextLong(settings.gossipPeriodMillis());
        disseminationQueue.add(table.self());
        prober.start(nowMillis);
        tableSync.start(seedAddresses, nowMillis);
        tableSync.tick(nowMillis);
    }

    /** Adds unknown members from the platform's list, which may be outdated. */
    public void updatePlatformMembers(List<MemberRecord> records, long nowMillis) {
        tableSync.updatePlatformMembers(records, nowMillis);
    }

    /** Performs the work that is due: timeouts, probes, synchronization, gossip and hints. */
    public void tick(long nowMillis) {
        long gapMillis = nowMillis - lastTickMillis;
        lastTickMillis = nowMillis;
        if (gapMillis > 2 * settings.probePeriodMillis()) {
            // Packets may wait unread, so the pending probe is cancelled and suspicions are extended by the pause.
            counters.add(SwimCounter.LOCAL_PAUSES, 1);
            prober.cancelProbes(nowMillis);
            table.extendSuspicions(gapMillis);
        }
        table.tick(nowMillis);
        prober.tick(nowMillis);
        tableSync.tick(nowMillis);
        gossip(nowMillis);
        revisionFanout.tick(nowMillis);
        hintExchange.tick(nowMillis);
    }

    /** Handles a received packet. */
    public void receive(String fromAddress, SwimMessage message, long nowMillis) {
        counters.add(SwimCounter.PACKETS_RECEIVED, 1);
        counters.add(SwimCounter.BYTES_RECEIVED, message.sizeBytes() + SwimMessage.IP_UDP_HEADER_BYTES);
        if (message.sender().isEmpty()
                || message.senderAddress().equals(table.self().address())) {
            return;
        }
        boolean changed = mergeMembers(message, nowMillis);
        message.hints().forEach(hint -> hintExchange.receive(hint, nowMillis));
        Optional<MemberEntry> sender = table.find(message.sender());
        sender.ifPresent(entry -> table.updateConfigRevision(entry, message.configRevision()));
        if (sender.isEmpty() && message.type() != SwimMessage.Type.JOIN && message.type() != SwimMessage.Type.SYNC) {
            tableSync.requestRecord(fromAddress, nowMillis);
        }
        dispatch(fromAddress, message, changed, nowMillis);
    }

    /** Sets the revision of the configuration in force at this member. */
    public void setConfigRevision(long revision) {
        if (revision != table.self().configRevision()) {
            table.setSelf(table.self().withConfigRevision(revision), false);
            revisionFanout.revisionChanged();
        }
    }

    /** Sets the address of this member once its socket is bound. */
    public void setAddress(String address) {
        table.setSelf(table.self().withAddress(address), false);
    }

    /** Announces to the other members that this one accepts no new work. */
    public void announceLeaving(long nowMillis) {
        if (table.self().status() == MemberStatus.LEAVING) {
            return;
        }
        table.setSelf(table.self().withStatus(MemberStatus.LEAVING), true);
        sendUpdates(LEAVING_FANOUT, nowMillis);
    }

    /** Sends a hint to the members in its scope. */
    public void publish(Hint hint, long nowMillis) {
        hintExchange.publish(hint, nowMillis);
    }

    public MembershipSnapshot snapshot() {
        return table.snapshot();
    }

    /** Returns a number that changes whenever the result of {@link #snapshot()} changes. */
    public long version() {
        return table.version();
    }

    public SwimCounters counters() {
        return counters;
    }

    private void memberForgotten(MemberRecord last) {
        hintExchange.forget(last.name());
    }

    private boolean mergeMembers(SwimMessage message, long nowMillis) {
        boolean changed = false;
        // Records from the initial synchronization are known to others; disseminating them would fill the packets when
        // many members join at once.
        boolean disseminate = message.type() != SwimMessage.Type.SYNC || !tableSync.isInitialSync();
        for (MemberRecord received : message.members()) {
            MemberTable.MergeResult result = table.merge(received, disseminate, nowMillis);
            changed |= result == MemberTable.MergeResult.APPLIED;
            if (result == MemberTable.MergeResult.DEATH_DISPUTED && message.type() == SwimMessage.Type.SYNC) {
                requestRefutation(received, nowMillis);
            }
        }
        return changed;
    }

    /** Probes a member that is dead here but not elsewhere, so that it refutes its death; only the member may. */
    private void requestRefutation(MemberRecord received, long nowMillis) {
        MemberEntry entry = table.find(received.name()).orElseThrow();
        if (nowMillis - entry.lastRefutationRequestMillis >= 2 * settings.suspicionMillis()) {
            entry.lastRefutationRequestMillis = nowMillis;
            prober.pingNow(entry, nowMillis);
        }
    }

    private void dispatch(String fromAddress, SwimMessage message, boolean changed, long nowMillis) {
        switch (message.type()) {
            case PING -> {
                if (message.target().equals(table.self().name())) {
                    prober.onPing(fromAddress, message, corrections(message), nowMillis);
                } else {
                    // The address belonged to another member before; an acknowledgement would keep that member alive.
                    counters.add(SwimCounter.WRONG_TARGETS, 1);
                }
            }
            case ACK -> prober.onAck(message, nowMillis);
            case PING_REQ -> prober.onPingRequest(fromAddress, message, nowMillis);
            case JOIN -> tableSync.onJoin(fromAddress, message, corrections(message), nowMillis);
            case SYNC -> tableSync.onSync(fromAddress, message, changed, nowMillis);
            case GOSSIP -> {}
            default -> throw new IllegalStateException("unhandled message type " + message.type());
        }
    }

    /** Returns the record of the sender here when it contradicts what the sender reports about itself. */
    private List<MemberRecord> corrections(SwimMessage message) {
        List<MemberRecord> corrections = new ArrayList<>(1);
        table.find(message.sender()).map(entry -> entry.record).ifPresent(known -> {
            boolean outdated = message.members().stream()
                    .anyMatch(reported -> reported.name().equals(known.name()) && known.supersedes(reported));
            if (outdated
                    || known.status() != MemberStatus.ALIVE
                    || !known.address().equals(message.senderAddress())) {
                corrections.add(known);
            }
        });
        return corrections;
    }

    private void gossip(long nowMillis) {
        if (nowMillis < nextGossipMillis) {
            return;
        }
        nextGossipMillis = nowMillis + settings.gossipPeriodMillis();
        if (!disseminationQueue.isEmpty()) {
            sendUpdates(settings.gossipFanout(), nowMillis);
        }
    }

    private void sendUpdates(int count, long nowMillis) {
        for (MemberEntry entry : table.randomReachable(count, "", random)) {
            packetSender.sendWithUpdates(
                    entry.record.address(), SwimMessage.of(SwimMessage.Type.GOSSIP, 0), Priority.GOSSIP, nowMillis);
        }
    }
}
