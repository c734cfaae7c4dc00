package io.agatelane.core.fleet;

import io.agatelane.core.hash.Rendezvous;
import io.agatelane.core.limits.AccountLimit;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A client account.
 *
 * @param priority overrides the priority of the route
 * @param isolated whether its cached prompt parts are not shared with other accounts
 * @param limit rate limit over all routers; empty when there is none
 */
public record FleetAccount(String name, OptionalInt priority, boolean isolated, Optional<AccountLimit> limit) {
    /** Hash of the name, as in digests. */
    public long nameHash() {
        return Rendezvous.hash(name);
    }
}
