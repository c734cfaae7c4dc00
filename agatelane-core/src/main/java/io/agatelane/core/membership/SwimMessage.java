package io.agatelane.core.membership;

import java.util.List;

/**
 * One packet of the protocol.
 *
 * @param sequence chosen by the sender of a request and repeated in the response
 * @param target PING and PING_REQ: the probed member; ACK: the member that is acknowledged
 * @param targetAddress PING_REQ: address of the probed member
 * @param cursor JOIN: member name after which the requested page starts; SYNC: last name of the page, empty on the last
 *     page
 * @param tableHash JOIN and SYNC: hash of the sender's member table; 0 in other packets
 */
public record SwimMessage(
        Type type,
        long sequence,
        String sender,
        String senderAddress,
        long configRevision,
        String target,
        String targetAddress,
        String cursor,
        long tableHash,
        List<MemberRecord> members,
        List<Hint> hints) {
    /** Size of the IPv4 and UDP headers of a packet. */
    public static final int IP_UDP_HEADER_BYTES = 28;

    /** Packet type. */
    public enum Type {
        PING,
        ACK,
        PING_REQ,
        JOIN,
        GOSSIP,
        SYNC
    }

    public SwimMessage {
        members = List.copyOf(members);
        hints = List.copyOf(hints);
    }

    /** Returns a message without sender, target and contents. */
    public static SwimMessage of(Type type, long sequence) {
        return new SwimMessage(type, sequence, "", "", 0, "", "", "", 0, List.of(), List.of());
    }

    public SwimMessage withSender(String name, String address, long revision) {
        return new SwimMessage(
                type, sequence, name, address, revision, target, targetAddress, cursor, tableHash, members, hints);
    }

    /** Returns a copy with another target member. */
    public SwimMessage withTarget(String name, String address) {
        return new SwimMessage(
                type,
                sequence,
                sender,
                senderAddress,
                configRevision,
                name,
                address,
                cursor,
                tableHash,
                members,
                hints);
    }

    /** Returns a copy with a position in the member table and the hash of the table. */
    public SwimMessage withPage(String newCursor, long newTableHash) {
        return new SwimMessage(
                type,
                sequence,
                sender,
                senderAddress,
                configRevision,
                target,
                targetAddress,
                newCursor,
                newTableHash,
                members,
                hints);
    }

    /** Returns a copy that carries these member records and hints. */
    public SwimMessage withContent(List<MemberRecord> newMembers, List<Hint> newHints) {
        return new SwimMessage(
                type,
                sequence,
                sender,
                senderAddress,
                configRevision,
                target,
                targetAddress,
                cursor,
                tableHash,
                newMembers,
                newHints);
    }

    /** Upper bound of the encoded size in bytes without IP and UDP headers. */
    public int sizeBytes() {
        int bytes = WireSize.ENUM_FIELD_BYTES
                + WireSize.integerFieldBytes(sequence)
                + WireSize.stringFieldBytes(sender)
                + WireSize.stringFieldBytes(senderAddress)
                + WireSize.integerFieldBytes(configRevision)
                + WireSize.stringFieldBytes(target)
                + WireSize.stringFieldBytes(targetAddress)
                + WireSize.stringFieldBytes(cursor)
                + (tableHash == 0 ? 0 : 1 + Long.BYTES);
        for (MemberRecord member : members) {
            bytes += member.sizeBytes();
        }
        for (Hint hint : hints) {
            bytes += hint.sizeBytes();
        }
        return bytes;
    }
}
