package io.agatelane.node.fleet;

import io.agatelane.core.fleet.FleetConfig;
import io.agatelane.core.limits.AccountDemand;
import io.agatelane.core.limits.command.AccountRateLimiter;
import java.util.List;
import java.util.Map;

/** Demand that a router observes at itself and reports to the others. */
final class ReportedDemands implements LoadGossip.OwnDemands {
    private final FleetState state;
    private final AccountRateLimiter accountLimiter;

    ReportedDemands(FleetState state, AccountRateLimiter accountLimiter) {
        this.state = state;
        this.accountLimiter = accountLimiter;
    }

    @Override
    public List<AccountDemand> accounts(long nowMillis) {
        return accountLimiter.reports(
                state.snapshot().config().map(FleetConfig::accountLimits).orElse(Map.of()), nowMillis);
    }
}
