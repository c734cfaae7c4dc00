package io.agatelane.core.limits;

import java.util.HashMap;
import java.util.Map;

/** State of the client accounts with recent requests or demand. Not thread-safe: callers synchronize on the table. */
public final class AccountTable {
    private final Map<String, AccountState> accounts = new HashMap<>();
    private double activeWeight;
    private double totalAdmitted;
    private long sumsUpdatedMillis = Long.MIN_VALUE;

    /** Returns the state of an account, which is created when missing. */
    public AccountState account(String name) {
        return accounts.computeIfAbsent(name, unused -> new AccountState());
    }

    public Map<String, AccountState> accounts() {
        return accounts;
    }

    /** Sum of the weights of accounts with recent demand. */
    public double activeWeight() {
        return activeWeight;
    }

    /** Exponentially decayed sum of the tokens admitted for all accounts. */
    public double totalAdmitted() {
        return totalAdmitted;
    }

    /** Time at which the sums were last computed; {@code Long.MIN_VALUE} before the first time. */
    public long sumsUpdatedMillis() {
        return sumsUpdatedMillis;
    }

    public void setSums(double newActiveWeight, double newTotalAdmitted, long nowMillis) {
        activeWeight = newActiveWeight;
        totalAdmitted = newTotalAdmitted;
        sumsUpdatedMillis = nowMillis;
    }

    public void addAdmitted(double tokens) {
        totalAdmitted += tokens;
    }
}
