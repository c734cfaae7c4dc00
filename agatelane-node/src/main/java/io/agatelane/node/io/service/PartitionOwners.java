package io.agatelane.node.io.service;

import io.agatelane.core.hash.Rendezvous;
import io.agatelane.node.api.Member;
import io.agatelane.node.api.MembershipView;
import java.util.Comparator;
import java.util.List;

/** Ranks the live routers of each booking partition by rendezvous hashing; the first in rank owns the partition. */
final class PartitionOwners {
    private final MembershipView membership;

    PartitionOwners(MembershipView membership) {
        this.membership = membership;
    }

    /** Returns the name of the router with a rank for a partition; ranks beyond the last start again with the owner. */
    String nameByRank(int partition, int rank) {
        if (rank == 0) {
            List<Member> live = membership.liveMembers();
            int ownerIndex =
                    Rendezvous.indexOfHighest(keyHash(partition), live, member -> Rendezvous.hash(member.name()));
            return ownerIndex < 0
                    ? membership.self().name()
                    : live.get(ownerIndex).name();
        }
        List<String> ranked = rankedNames(partition);
        return ranked.get(rank % ranked.size());
    }

    boolean isOwnedHere(int partition) {
        Member self = membership.self();
        return self.state().isLive() && nameByRank(partition, 0).equals(self.name());
    }

    // Returns the live routers in order of their rank for the partition, the owner first; never empty.
    private List<String> rankedNames(int partition) {
        long keyHash = keyHash(partition);
        List<String> names = membership.liveMembers().stream()
                .map(Member::name)
                .sorted(Comparator.comparing(
                                (String name) -> Rendezvous.weight(keyHash, Rendezvous.hash(name)),
                                Long::compareUnsigned)
                        .reversed())
                .toList();
        // A draining router is not a live member, but still has outcomes to record.
        return names.isEmpty() ? List.of(membership.self().name()) : names;
    }

    private static long keyHash(int partition) {
        return Rendezvous.hash("bookings/" + partition);
    }
}
