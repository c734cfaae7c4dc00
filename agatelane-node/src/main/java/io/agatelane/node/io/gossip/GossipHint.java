package io.agatelane.node.io.gossip;

import com.google.protobuf.Message;
import io.agatelane.core.membership.Hint;
import io.agatelane.core.membership.HintScope;
import io.agatelane.wire.peer.AccountUsage;
import io.agatelane.wire.peer.Quarantine;
import io.agatelane.wire.peer.UpstreamDigest;
import java.util.HexFormat;

/**
 * A hint that wraps the protobuf message sent to other routers.
 *
 * @param sizeBytes encoded size in a packet, with field tag and length prefix
 */
record GossipHint(
        HintScope scope, String key, long sequence, int sizeBytes, long lifetimeMillis, boolean urgent, Message message)
        implements Hint {
    /** Load changes within seconds, so older digests mislead more than they help. */
    private static final long DIGEST_LIFETIME_MILLIS = 10_000;

    private static final long USAGE_LIFETIME_MILLIS = 30_000;
    private static final int TAG_AND_LENGTH_BYTES = 3;

    static GossipHint of(UpstreamDigest digest) {
        // A draining upstream must stop receiving new requests within 3 s, so these digests precede plain load figures.
        boolean urgent = digest.getDraining() || digest.getProbation();
        return new GossipHint(
                HintScope.AVAILABILITY_ZONE,
                "upstream:" + digest.getUpstream(),
                digest.getSequence(),
                encodedSize(digest),
                DIGEST_LIFETIME_MILLIS,
                urgent,
                digest);
    }

    static GossipHint of(Quarantine quarantine) {
        return new GossipHint(
                HintScope.ALL,
                "quarantine:"
                        + HexFormat.of().formatHex(quarantine.getFingerprint().toByteArray()),
                quarantine.getCrashes(),
                encodedSize(quarantine),
                Math.max(0, quarantine.getRemainingMillis()),
                false,
                quarantine);
    }

    static GossipHint of(AccountUsage usage) {
        return new GossipHint(
                HintScope.REGION,
                "usage:" + usage.getVm() + '/' + usage.getClientAccount(),
                usage.getSequence(),
                encodedSize(usage),
                USAGE_LIFETIME_MILLIS,
                false,
                usage);
    }

    private static int encodedSize(Message message) {
        return message.getSerializedSize() + TAG_AND_LENGTH_BYTES;
    }
}
