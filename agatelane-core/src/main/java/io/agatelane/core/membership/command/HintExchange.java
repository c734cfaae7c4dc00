package io.agatelane.core.membership.command;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.membership.Hint;
import io.agatelane.core.membership.HintScope;
import io.agatelane.core.membership.SwimListener;
import io.agatelane.core.membership.SwimMessage;
import io.agatelane.core.membership.SwimSettings;
import io.agatelane.core.membership.command.ByteBudget.Priority;
import io.agatelane.core.membership.query.SwimCounter;
import io.agatelane.core.membership.query.SwimCounters;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sends and receives hints. Hints for all members are piggybacked on other packets and disseminated by each receiver.
 * Hints for an availability zone or a region are sent once by their publisher to each member in scope: dissemination
 * would cost several times the bytes.
 */
final class HintExchange {
    private static final int MAX_HINT_BYTES = 1_000;
    private static final int MAX_SEEN_HINTS = 8_192;

    private final SwimSettings settings;
    private final MemberTable table;
    private final PacketSender packetSender;
    private final DisseminationQueue disseminationQueue;
    private final SwimListener listener;
    private final SwimCounters counters;
    /** In order of priority, highest first. */
    private final List<ScopedLog> scopedLogs = List.of(
            new ScopedLog(HintScope.AVAILABILITY_ZONE, true),
            new ScopedLog(HintScope.AVAILABILITY_ZONE, false),
            new ScopedLog(HintScope.REGION, false));

    private final Map<String, SeenHint> seenHints = new HashMap<>();
    private long nextRoundMillis;
    private int roundOffset;

    HintExchange(
            SwimSettings settings,
            MemberTable table,
            PacketSender packetSender,
            DisseminationQueue disseminationQueue,
            SwimListener listener,
            SwimCounters counters) {
        this.settings = settings;
        this.table = table;
        this.packetSender = packetSender;
        this.disseminationQueue = disseminationQueue;
        this.listener = listener;
        this.counters = counters;
    }

    void publish(Hint hint, long nowMillis) {
        if (hint.sizeBytes() > MAX_HINT_BYTES) {
            throw new AgatelaneException(
                            FailureType.INVALID_OBJECT,
                            "a hint of " + hint.sizeBytes() + " bytes exceeds the maximum hint size")
                    .withLocation(hint.key());
        }
        if (hint.scope() == HintScope.ALL) {
            recordSeen(hint, nowMillis);
            disseminationQueue.add(hint);
            return;
        }
        for (ScopedLog scoped : scopedLogs) {
            if (scoped.scope == hint.scope() && scoped.urgent == isUrgent(hint)) {
                scoped.log.add(hint, nowMillis);
            }
        }
    }

    /** Handles a received hint. One for all members is disseminated further when it is new here, else ignored. */
    void receive(Hint hint, long nowMillis) {
        if (hint.scope() == HintScope.ALL) {
            SeenHint known = seenHints.get(hint.key());
            if (known != null && known.sequence >= hint.sequence() && known.expiresMillis > nowMillis) {
                return;
            }
            recordSeen(hint, nowMillis);
            disseminationQueue.add(hint);
        }
        listener.hintReceived(hint);
    }

    void forget(String member) {
        scopedLogs.forEach(scoped -> scoped.log.forget(member));
    }

    void tick(long nowMillis) {
        if (nowMillis < nextRoundMillis) {
            return;
        }
        nextRoundMillis = nowMillis + settings.hintPeriodMillis();
        roundOffset++;
        for (ScopedLog scoped : scopedLogs) {
            counters.add(SwimCounter.HINTS_EXPIRED_UNSENT, scoped.log.expire(nowMillis));
            if (!sendRound(scoped, nowMillis)) {
                return;
            }
        }
    }

    /** Returns false when the byte budget is used up; the next round then starts with another member. */
    private boolean sendRound(ScopedLog scoped, long nowMillis) {
        List<MemberEntry> members = table.reachable();
        SwimMessage empty = SwimMessage.of(SwimMessage.Type.GOSSIP, 0);
        for (int i = 0; i < members.size(); i++) {
            MemberEntry entry = members.get((i + roundOffset) % members.size());
            String name = entry.record.name();
            if (!scoped.scope.includes(table.self(), entry.record) || !scoped.log.isPending(name)) {
                continue;
            }
            List<Hint> hints = scoped.log.pending(name, packetSender.freeBytes(empty));
            SwimMessage packet = empty.withContent(List.of(), hints);
            if (!packetSender.send(entry.record.address(), packet, Priority.HINT, nowMillis)) {
                return false;
            }
            scoped.log.markSent(name, hints.get(hints.size() - 1));
        }
        return true;
    }

    private static boolean isUrgent(Hint hint) {
        return hint.scope() == HintScope.AVAILABILITY_ZONE && hint.urgent();
    }

    private void recordSeen(Hint hint, long nowMillis) {
        if (seenHints.size() >= MAX_SEEN_HINTS) {
            seenHints.values().removeIf(known -> known.expiresMillis <= nowMillis);
        }
        if (seenHints.size() >= MAX_SEEN_HINTS) {
            // Clearing the table costs no more than repeated deliveries.
            seenHints.clear();
        }
        seenHints.put(hint.key(), new SeenHint(hint.sequence(), nowMillis + hint.lifetimeMillis()));
    }

    private static final class ScopedLog {
        private final HintScope scope;
        private final boolean urgent;
        private final HintLog log = new HintLog();

        private ScopedLog(HintScope scope, boolean urgent) {
            this.scope = scope;
            this.urgent = urgent;
        }
    }

    private record SeenHint(long sequence, long expiresMillis) {}
}
