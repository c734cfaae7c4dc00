package io.agatelane.core.membership.query;

import io.agatelane.core.membership.MemberRecord;
import java.util.List;

/**
 * An immutable copy of the member table.
 *
 * @param version number that changes with every change of the table
 * @param members all members in name order, including {@code self}
 */
public record MembershipSnapshot(long version, MemberRecord self, List<MemberRecord> members) {
    public MembershipSnapshot {
        members = List.copyOf(members);
    }

    /** Returns the members that accept new work, in name order. */
    public List<MemberRecord> live() {
        return members.stream().filter(member -> member.status().isLive()).toList();
    }
}
