package io.agatelane.node.io.gossip;

import com.google.protobuf.InvalidProtocolBufferException;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.membership.Hint;
import io.agatelane.core.membership.MemberRecord;
import io.agatelane.core.membership.MemberStatus;
import io.agatelane.core.membership.SwimMessage;
import io.agatelane.wire.peer.AccountUsage;
import io.agatelane.wire.peer.GossipPacket;
import io.agatelane.wire.peer.MemberUpdate;
import io.agatelane.wire.peer.Quarantine;
import io.agatelane.wire.peer.UpstreamDigest;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes messages of the SWIM protocol as {@link GossipPacket}. */
final class GossipCodec {
    private GossipCodec() {}

    static byte[] encode(SwimMessage message) {
        GossipPacket.Builder packet = GossipPacket.newBuilder()
                .setType(GossipPacket.Type.valueOf(message.type().name()))
                .setSequence(message.sequence())
                .setSender(message.sender())
                .setSenderAddress(message.senderAddress())
                .setConfigRevision(message.configRevision())
                .setTarget(message.target())
                .setTargetAddress(message.targetAddress())
                .setCursor(message.cursor())
                .setTableHash(message.tableHash());
        message.members().forEach(member -> packet.addMembers(toUpdate(member)));
        message.hints().forEach(hint -> addHint(packet, hint));
        return packet.build().toByteArray();
    }

    /**
     * Decodes a datagram.
     *
     * @throws AgatelaneException with {@code MALFORMED_REQUEST} or {@code INVALID_OBJECT}
     */
    static SwimMessage decode(ByteBuffer bytes) {
        GossipPacket packet;
        try {
            packet = GossipPacket.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new AgatelaneException(FailureType.MALFORMED_REQUEST, "the datagram is not a GossipPacket", e);
        }
        List<MemberRecord> members = new ArrayList<>(packet.getMembersCount());
        packet.getMembersList().forEach(update -> members.add(toRecord(update)));
        List<Hint> hints = new ArrayList<>();
        packet.getUpstreamsList().forEach(digest -> hints.add(GossipHint.of(digest)));
        packet.getQuarantinesList().forEach(quarantine -> hints.add(GossipHint.of(quarantine)));
        packet.getUsagesList().forEach(usage -> hints.add(GossipHint.of(usage)));
        return SwimMessage.of(toType(packet), packet.getSequence())
                .withSender(packet.getSender(), packet.getSenderAddress(), packet.getConfigRevision())
                .withTarget(packet.getTarget(), packet.getTargetAddress())
                .withPage(packet.getCursor(), packet.getTableHash())
                .withContent(members, hints);
    }

    static MemberUpdate toUpdate(MemberRecord member) {
        return MemberUpdate.newBuilder()
                .setName(member.name())
                .setState(MemberUpdate.State.valueOf(member.status().name()))
                .setIncarnation(member.incarnation())
                .setPeerAddress(member.address())
                .setAvailabilityZone(member.availabilityZone())
                .setRegion(member.region())
                .setConfigRevision(member.configRevision())
                .build();
    }

    static MemberRecord toRecord(MemberUpdate update) {
        MemberStatus status =
                switch (update.getState()) {
                    case ALIVE -> MemberStatus.ALIVE;
                    case SUSPECT -> MemberStatus.SUSPECT;
                    case DEAD -> MemberStatus.DEAD;
                    case LEAVING -> MemberStatus.LEAVING;
                    default -> throw malformed("state of member " + update.getName());
                };
        return new MemberRecord(
                update.getName(),
                status,
                update.getIncarnation(),
                update.getPeerAddress(),
                update.getAvailabilityZone(),
                update.getRegion(),
                update.getConfigRevision());
    }

    private static SwimMessage.Type toType(GossipPacket packet) {
        return switch (packet.getType()) {
            case PING -> SwimMessage.Type.PING;
            case ACK -> SwimMessage.Type.ACK;
            case PING_REQ -> SwimMessage.Type.PING_REQ;
            case JOIN -> SwimMessage.Type.JOIN;
            case GOSSIP -> SwimMessage.Type.GOSSIP;
            case SYNC -> SwimMessage.Type.SYNC;
            default -> throw malformed("packet type");
        };
    }

    private static void addHint(GossipPacket.Builder packet, Hint hint) {
        Object message = ((GossipHint) hint).message();
        if (message instanceof UpstreamDigest digest) {
            packet.addUpstreams(digest);
        } else if (message instanceof Quarantine quarantine) {
            packet.addQuarantines(quarantine);
        } else {
            packet.addUsages((AccountUsage) message);
        }
    }

    private static AgatelaneException malformed(String what) {
        return new AgatelaneException(FailureType.MALFORMED_REQUEST, "unknown " + what);
    }
}
