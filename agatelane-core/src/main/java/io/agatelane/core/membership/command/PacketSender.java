package io.agatelane.core.membership.command;

import io.agatelane.core.membership.MemberRecord;
import io.agatelane.core.membership.SwimListener;
import io.agatelane.core.membership.SwimMessage;
import io.agatelane.core.membership.SwimSettings;
import io.agatelane.core.membership.query.SwimCounter;
import io.agatelane.core.membership.query.SwimCounters;
import java.util.ArrayList;
import java.util.List;

/** Adds the sender and piggybacked updates to packets, and enforces the packet size and the byte budget. */
final class PacketSender {
    private final SwimSettings settings;
    private final MemberTable table;
    private final DisseminationQueue disseminationQueue;
    private final SwimListener listener;
    private final SwimCounters counters;
    private final ByteBudget budget;

    PacketSender(
            SwimSettings settings,
            MemberTable table,
            DisseminationQueue disseminationQueue,
            SwimListener listener,
            SwimCounters counters) {
        this.settings = settings;
        this.table = table;
        this.disseminationQueue = disseminationQueue;
        this.listener = listener;
        this.counters = counters;
        this.budget = new ByteBudget(settings.sendBytesPerSecond(), settings.burstBytes());
    }

    /** Sends a packet without piggybacked updates. Returns false when the byte budget does not allow it. */
    boolean send(String address, SwimMessage message, ByteBudget.Priority priority, long nowMillis) {
        SwimMessage complete = withLocalSender(message);
        int bytes = complete.sizeBytes() + SwimMessage.IP_UDP_HEADER_BYTES;
        if (!budget.tryTake(bytes, priority, nowMillis)) {
            counters.add(SwimCounter.PACKETS_THROTTLED, 1);
            return false;
        }
        counters.add(SwimCounter.PACKETS_SENT, 1);
        counters.add(SwimCounter.BYTES_SENT, bytes);
        listener.send(address, complete);
        return true;
    }

    /** Sends a packet with piggybacked updates. Returns false when the byte budget does not allow it. */
    boolean sendWithUpdates(String address, SwimMessage message, ByteBudget.Priority priority, long nowMillis) {
        SwimMessage complete = withLocalSender(message);
        int free = Math.min(
                        settings.maxPacketBytes(),
                        budget.available(priority, nowMillis) - SwimMessage.IP_UDP_HEADER_BYTES)
                - complete.sizeBytes();
        if (free > 0 && !disseminationQueue.isEmpty()) {
            int limit = settings.disseminationLimit(table.reachable().size() + 1);
            DisseminationQueue.Selection updates = disseminationQueue.select(free, limit);
            List<MemberRecord> members = new ArrayList<>(complete.members());
            members.addAll(updates.members);
            complete = complete.withContent(members, updates.hints);
        }
        return send(address, complete, priority, nowMillis);
    }

    /** Returns the bytes that are free for further content in a packet with the given content. */
    int freeBytes(SwimMessage message) {
        return settings.maxPacketBytes() - withLocalSender(message).sizeBytes();
    }

    private SwimMessage withLocalSender(SwimMessage message) {
        MemberRecord self = table.self();
        return message.withSender(self.name(), self.address(), self.configRevision());
    }
}
