package io.agatelane.core.membership;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;

/**
 * Identity and state of a member as known locally or as sent in a packet.
 *
 * @param incarnation number that only the member itself raises, at each start and each refutation
 * @param address address at which the member receives packets; opaque to the protocol
 * @param region members of the same region exchange hints of regional scope
 * @param configRevision revision of the configuration in force at the member, as last received
 */
public record MemberRecord(
        String name,
        MemberStatus status,
        long incarnation,
        String address,
        String availabilityZone,
        String region,
        long configRevision) {
    /** Largest encoded size of a name, address, zone or region, so that each record fits into a packet. */
    public static final int MAX_TEXT_BYTES = 100;

    /** Larger incarnations are refused, so that a corrupt value cannot use up the range. */
    public static final long MAX_INCARNATION = 1L << 62;

    public MemberRecord {
        checkText("name", name, false);
        checkText("address", address, false);
        checkText("availability zone", availabilityZone, true);
        checkText("region", region, true);
        if (incarnation < 0 || incarnation > MAX_INCARNATION) {
            throw new AgatelaneException(
                    FailureType.INVALID_OBJECT, "incarnation " + incarnation + " is outside the range 0 to 2^62");
        }
    }

    public MemberRecord withStatus(MemberStatus newStatus) {
        return new MemberRecord(name, newStatus, incarnation, address, availabilityZone, region, configRevision);
    }

    public MemberRecord withIncarnation(long newIncarnation) {
        return new MemberRecord(name, status, newIncarnation, address, availabilityZone, region, configRevision);
    }

    public MemberRecord withConfigRevision(long newRevision) {
        return new MemberRecord(name, status, incarnation, address, availabilityZone, region, newRevision);
    }

    public MemberRecord withAddress(String newAddress) {
        return new MemberRecord(name, status, incarnation, newAddress, availabilityZone, region, configRevision);
    }

    /** Whether this record takes precedence over another one about the same member. */
    public boolean supersedes(MemberRecord other) {
        return incarnation > other.incarnation
                || (incarnation == other.incarnation && status.compareTo(other.status) > 0);
    }

    /** Upper bound of the encoded size in bytes. */
    public int sizeBytes() {
        return WireSize.NESTED_HEADER_BYTES
                + WireSize.stringFieldBytes(name)
                + WireSize.ENUM_FIELD_BYTES
                + WireSize.integerFieldBytes(incarnation)
                + WireSize.stringFieldBytes(address)
                + WireSize.stringFieldBytes(availabilityZone)
                + WireSize.stringFieldBytes(region)
                + WireSize.integerFieldBytes(configRevision);
    }

    private static void checkText(String fieldName, String text, boolean mayBeEmpty) {
        if ((text.isEmpty() && !mayBeEmpty) || WireSize.stringFieldBytes(text) > MAX_TEXT_BYTES) {
            throw new AgatelaneException(
                    FailureType.INVALID_OBJECT,
                    "the " + fieldName + " of a member is empty or takes more than 100 bytes encoded: '" + text + "'");
        }
    }
}
