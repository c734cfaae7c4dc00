package io.agatelane.node.fleet;

import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.ServiceDemand;
import io.agatelane.core.limits.AccountDemand;
import java.util.Collection;
import java.util.List;

/**
 * What a router tells others in one digest.
 *
 * @param ageMillis mean age of the loads; 0 for a router's own
 */
record DigestContent(
        List<PeerLoad> loads,
        long ageMillis,
        DigestEvents events,
        RolloutHints hints,
        List<AccountDemand> accounts,
        List<ServiceDemand> services) {
    DigestContent {
        loads = List.copyOf(loads);
        accounts = List.copyOf(accounts);
        services = List.copyOf(services);
    }

    /** The content of a router that reports through another one. */
    static DigestContent empty() {
        return new DigestContent(List.of(), 0, DigestEvents.NONE, RolloutHints.NONE, List.of(), List.of());
    }

    /** Returns the sum that a relay forwards in place of its own content. */
    DigestContent withSums(
            List<PeerLoad> summedLoads,
            long summedAgeMillis,
            Collection<AccountDemand> summedAccounts,
            Collection<ServiceDemand> summedServices) {
        return new DigestContent(
                summedLoads, summedAgeMillis, events, hints, List.copyOf(summedAccounts), List.copyOf(summedServices));
    }

    DigestContent withEvents(DigestEvents newEvents, RolloutHints newHints) {
        return new DigestContent(loads, ageMillis, newEvents, newHints, accounts, services);
    }
}
