package io.agatelane.core.limits.command;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.limits.AccountState;
import io.agatelane.core.limits.AccountTable;
import io.agatelane.core.limits.query.AccountShares;
import io.agatelane.core.model.ClientAccount;
import java.util.ArrayList;
import java.util.List;

/**
 * Enforces the token rate and the fair share of client accounts. Thread-safe.
 *
 * <p>The rate of an account is divided among the routers in proportion to its demand at each, which they exchange by
 * gossip. Until a change of demand has reached every router, each admits at most its previous share, so that the
 * overshoot is bounded by one burst per router and gossip interval.
 */
public final class AccountLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long SUM_INTERVAL_MILLIS = 100;
    // Accounts with a lower decayed demand than this do not count as active; idle ones are removed from the table.
    private static final double ACTIVE_TOKENS = 1;
    private static final long FAIRNESS_RETRY_MILLIS = 1_000;

    private final AccountTable table;

    public AccountLimiter(AccountTable table) {
        this.table = table;
    }

    /**
     * Records the demand of a request, also when the request is refused later: shares depend on demand, and an account
     * whose requests are refused must not look idle.
     */
    public void recordDemand(ClientAccount account, long tokens, long nowMillis) {
        synchronized (table) {
            AccountState state = table.account(account.name());
            state.setWeight(account.weight());
            addDecayed(state, (double) tokens, 0, nowMillis);
        }
    }

    /**
     * Admits a request whose demand was recorded, and charges its expected tokens.
     *
     * @param pressure expected time to first token divided by the deadline
     * @throws AgatelaneException with {@code ACCOUNT_LIMIT} when the account exceeds its rate, or {@code OVERLOADED}
     *     when it exceeds its fair share under contention; both with the time after which to retry
     */
    public void admit(ClientAccount account, long tokens, double pressure, long nowMillis) {
        synchronized (table) {
            AccountState state = table.account(account.name());
            refreshSums(nowMillis);
            refill(state, account, nowMillis);
            requireWithinRate(state, account, tokens, nowMillis);
            if (!AccountShares.isWithinFairShare(table, state, pressure, nowMillis)) {
                throw new AgatelaneException(
                                FailureType.OVERLOADED,
                                "client account " + account.name() + " exceeds its fair share under contention")
                        .withRetryAfterMillis(FAIRNESS_RETRY_MILLIS);
            }
            addDecayed(state, 0, (double) tokens, nowMillis);
            table.addAdmitted((double) tokens);
            if (isLimited(account)) {
                state.setBalance(state.balance() - tokens, nowMillis);
            }
        }
    }

    /** Corrects a charge once the actual number of tokens is known; a negative correction refunds tokens. */
    public void correctCharge(ClientAccount account, long correctionTokens, long nowMillis) {
        synchronized (table) {
            AccountState state = table.account(account.name());
            if (isLimited(account)) {
                refill(state, account, nowMillis);
                state.setBalance(state.balance() - correctionTokens, nowMillis);
            }
        }
    }

    /** Records the demand that another router reported; older and repeated reports are ignored. */
    public void recordPeerDemand(String account, String vm, long tokensPerSecond, long sequence, long nowMillis) {
        synchronized (table) {
            AccountState state = table.account(account);
            AccountState.PeerDemand known = state.peerDemands().get(vm);
            if (known == null
                    || sequence > known.sequence()
                    || nowMillis - known.receivedMillis() > AccountShares.PEER_EXPIRY_MILLIS) {
                state.peerDemands().put(vm, new AccountState.PeerDemand(tokensPerSecond, sequence, nowMillis));
            }
        }
    }

    /** Returns the local demand of each active account, to be reported to other routers, and removes idle accounts. */
    public List<Demand> demands(long nowMillis) {
        synchronized (table) {
            List<Demand> demands = new ArrayList<>();
            table.accounts().entrySet().removeIf(entry -> expire(entry.getValue(), nowMillis));
            table.accounts().forEach((name, state) -> {
                double demand = AccountShares.demandPerSecond(state, nowMillis);
                if (demand >= ACTIVE_TOKENS) {
                    demands.add(new Demand(name, Math.round(demand)));
                }
            });
            return demands;
        }
    }

    /** Demand of an account at this router. */
    public record Demand(String account, long tokensPerSecond) {}

    private static boolean isLimited(ClientAccount account) {
        return account.tokensPerSecond() > 0;
    }

    private void requireWithinRate(AccountState state, ClientAccount account, long tokens, long nowMillis) {
        if (!isLimited(account)) {
            return;
        }
        double share = AccountShares.routerShare(state, nowMillis);
        // A request larger than the whole burst is admitted when the bucket is full and leaves a negative balance.
        double needed = Math.min((double) tokens, account.burstTokens() * share);
        if (state.balance() >= needed) {
            return;
        }
        double waitMillis = (needed - state.balance()) * MILLIS_PER_SECOND / (account.tokensPerSecond() * share);
        throw new AgatelaneException(
                        FailureType.ACCOUNT_LIMIT,
                        "client account " + account.name() + " exceeds its rate limit of " + account.tokensPerSecond()
                                + " tokens per second")
                .withRetryAfterMillis((long) Math.ceil(waitMillis));
    }

    private static void refill(AccountState state, ClientAccount account, long nowMillis) {
        if (!isLimited(account)) {
            return;
        }
        double share = AccountShares.routerShare(state, nowMillis);
        double capacity = account.burstTokens() * share;
        if (!state.isInitialized()) {
            state.setBalance(capacity, nowMillis);
            return;
        }
        double seconds = Math.max(0, nowMillis - state.balanceUpdatedMillis()) / MILLIS_PER_SECOND;
        double refilled = state.balance() + seconds * account.tokensPerSecond() * share;
        state.setBalance(Math.min(capacity, refilled), nowMillis);
    }

    private static void addDecayed(AccountState state, double demand, double admitted, long nowMillis) {
        double decay = AccountShares.decayFactor(state, nowMillis);
        state.setDecayedSums(
                state.demandTokens() * decay + demand, state.admittedTokens() * decay + admitted, nowMillis);
    }

    // The sums are refreshed at intervals: computing them for each request would be costly with 13,000 accounts.
    private void refreshSums(long nowMillis) {
        if (table.sumsUpdatedMillis() != Long.MIN_VALUE
                && nowMillis - table.sumsUpdatedMillis() < SUM_INTERVAL_MILLIS) {
            return;
        }
        double weight = 0;
        double admitted = 0;
        for (AccountState state : table.accounts().values()) {
            double decay = AccountShares.decayFactor(state, nowMillis);
            admitted += state.admittedTokens() * decay;
            weight += state.demandTokens() * decay >= ACTIVE_TOKENS ? state.weight() : 0;
        }
        table.setSums(weight, admitted, nowMillis);
    }

    // Drops expired reports of other routers and returns whether the account itself may be removed.
    private static boolean expire(AccountState state, long nowMillis) {
        state.peerDemands()
                .values()
                .removeIf(peer -> nowMillis - peer.receivedMillis() > AccountShares.PEER_EXPIRY_MILLIS);
        boolean idle = AccountShares.demandPerSecond(state, nowMillis) < ACTIVE_TOKENS / 1_000;
        return idle && state.peerDemands().isEmpty() && state.balance() >= 0 && idleMillis(state, nowMillis) > 60_000;
    }

    // Time since the last use. The bucket must be full again before an account is removed, as a new one starts full.
    private static long idleMillis(AccountState state, long nowMillis) {
        return nowMillis - Math.max(state.sumsUpdatedMillis(), state.balanceUpdatedMillis());
    }
}
