package io.agatelane.core.membership.command;

import io.agatelane.core.membership.SwimMessage;
import io.agatelane.core.membership.command.ByteBudget.Priority;
import java.util.List;

/**
 * Announces this member's revision of the configuration to every other member after it changed. Each member has its own
 * value, so dissemination by gossip would cost each member about 27 copies of 370 values; small packets sent directly
 * cost one copy of each.
 */
final class RevisionFanout {
    /** The second pass compensates for lost packets. */
    private static final int PASSES = 2;
    /** Number of ticks, 50 ms each, over which one pass is spread. */
    private static final int TICKS_PER_PASS = 40;

    private final MemberTable table;
    private final PacketSender packetSender;
    private int nextMember;
    private int remainingPackets;

    RevisionFanout(MemberTable table, PacketSender packetSender) {
        this.table = table;
        this.packetSender = packetSender;
    }

    /** Restarts both passes from the current position, so that frequent changes do not leave out any member. */
    void revisionChanged() {
        remainingPackets = PASSES * table.reachable().size();
    }

    void tick(long nowMillis) {
        List<MemberEntry> members = table.reachable();
        if (remainingPackets == 0 || members.isEmpty()) {
            return;
        }
        int count = Math.min(remainingPackets, (members.size() + TICKS_PER_PASS - 1) / TICKS_PER_PASS);
        SwimMessage packet = SwimMessage.of(SwimMessage.Type.GOSSIP, 0);
        for (int i = 0; i < count; i++) {
            MemberEntry entry = members.get(nextMember % members.size());
            if (!packetSender.send(entry.record.address(), packet, Priority.GOSSIP, nowMillis)) {
                return;
            }
            nextMember = (nextMember + 1) % members.size();
            remainingPackets--;
        }
    }
}
