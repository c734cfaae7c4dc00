package io.agatelane.core.membership;

/** Which members receive a hint. */
public enum HintScope {
    AVAILABILITY_ZONE,
    REGION,
    ALL;

    /** Whether the member {@code to} receives hints of this scope that {@code from} publishes. */
    public boolean includes(MemberRecord from, MemberRecord to) {
        return switch (this) {
            case AVAILABILITY_ZONE -> from.region().equals(to.region())
                    && from.availabilityZone().equals(to.availabilityZone());
            case REGION -> from.region().equals(to.region());
            case ALL -> true;
        };
    }
}
