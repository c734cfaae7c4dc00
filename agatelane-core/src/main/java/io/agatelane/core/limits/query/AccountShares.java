package io.agatelane.core.limits.query;

import io.agatelane.core.limits.AccountState;
import io.agatelane.core.limits.AccountTable;

/** Computes this router's share of an account's limit, and an account's fair share of this router. */
public final class AccountShares {
    /** Time constant of the exponentially decayed sums. */
    public static final double DECAY_TIME_CONSTANT_MILLIS = 2_000;

    /** Age at which reported demand is dropped: the router has gone or the account is idle there. */
    public static final long PEER_EXPIRY_MILLIS = 3_000;

    private static final double MILLIS_PER_SECOND = 1_000;
    // Up to this pressure every account is served; above it, the allowed excess over the fair share shrinks to 0.
    private static final double CONTENTION_PRESSURE = 0.5;
    private static final double MAX_EXCESS_RATIO = 1;

    private AccountShares() {}

    /** Returns the account's demand at this router in tokens per second. */
    public static double demandPerSecond(AccountState account, long nowMillis) {
        return account.demandTokens()
                * decayFactor(account, nowMillis)
                * MILLIS_PER_SECOND
                / DECAY_TIME_CONSTANT_MILLIS;
    }

    /** Returns the factor by which the decayed sums have shrunk since they were last updated. */
    public static double decayFactor(AccountState account, long nowMillis) {
        return Math.exp(-Math.max(0, nowMillis - account.sumsUpdatedMillis()) / DECAY_TIME_CONSTANT_MILLIS);
    }

    /**
     * Returns the share of the account's rate and burst that this router may admit: its share of the demand over all
     * routers. Every router has a small minimum share, so that an account which moves to it is not locked out until
     * gossip arrives.
     */
    public static double routerShare(AccountState account, long nowMillis) {
        double localDemand = demandPerSecond(account, nowMillis);
        double totalDemand = localDemand;
        int routers = 1;
        for (AccountState.PeerDemand peer : account.peerDemands().values()) {
            if (nowMillis - peer.receivedMillis() <= PEER_EXPIRY_MILLIS) {
                totalDemand += peer.tokensPerSecond();
                routers++;
            }
        }
        if (routers == 1) {
            return 1;
        }
        double minShare = 0.5 / routers;
        double demandShare = totalDemand <= 0 ? 1.0 / routers : localDemand / totalDemand;
        return minShare + (1 - minShare * routers) * demandShare;
    }

    /**
     * Whether the account may be admitted one more request under fair sharing.
     *
     * @param pressure expected time to first token divided by the deadline
     */
    public static boolean isWithinFairShare(AccountTable table, AccountState account, double pressure, long nowMillis) {
        if (pressure <= CONTENTION_PRESSURE || table.activeWeight() <= account.weight()) {
            return true;
        }
        double fairTokens = table.totalAdmitted() * account.weight() / table.activeWeight();
        double allowedExcess = MAX_EXCESS_RATIO * Math.max(0, 1 - pressure) / (1 - CONTENTION_PRESSURE);
        return account.admittedTokens() * decayFactor(account, nowMillis) <= fairTokens * (1 + allowedExcess);
    }
}
