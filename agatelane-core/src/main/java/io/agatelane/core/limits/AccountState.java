package io.agatelane.core.limits;

import java.util.HashMap;
import java.util.Map;

/** State of a client account on this router: its token bucket, its local demand and its demand at other routers. */
public final class AccountState {
    private final Map<String, PeerDemand> peerDemands = new HashMap<>();
    private double balance;
    private boolean initialized;
    private long balanceUpdatedMillis;
    private double demandTokens;
    private double admittedTokens;
    private long sumsUpdatedMillis;
    private int weight = 1;

    /**
     * Demand of the account at another router.
     *
     * @param sequence sequence number of the report; a higher one is newer
     * @param receivedMillis local time at which the report was received
     */
    public record PeerDemand(long tokensPerSecond, long sequence, long receivedMillis) {}

    /** Latest demand reports by the VM name of the router. */
    public Map<String, PeerDemand> peerDemands() {
        return peerDemands;
    }

    /** Tokens that may be spent now; negative after requests that used more tokens than expected. */
    public double balance() {
        return balance;
    }

    public void setBalance(double newBalance, long nowMillis) {
        balance = newBalance;
        balanceUpdatedMillis = nowMillis;
        initialized = true;
    }

    /** Whether the bucket has got its initial balance. */
    public boolean isInitialized() {
        return initialized;
    }

    /** Time at which the balance was last set. */
    public long balanceUpdatedMillis() {
        return balanceUpdatedMillis;
    }

    /** Exponentially decayed sum of the requested tokens, refused requests included. */
    public double demandTokens() {
        return demandTokens;
    }

    /** Exponentially decayed sum of the admitted tokens. */
    public double admittedTokens() {
        return admittedTokens;
    }

    public void setDecayedSums(double demand, double admitted, long nowMillis) {
        demandTokens = demand;
        admittedTokens = admitted;
        sumsUpdatedMillis = nowMillis;
    }

    /** Time at which the decayed sums were last updated. */
    public long sumsUpdatedMillis() {
        return sumsUpdatedMillis;
    }

    public int weight() {
        return weight;
    }

    public void setWeight(int newWeight) {
        weight = Math.max(1, newWeight);
    }
}
