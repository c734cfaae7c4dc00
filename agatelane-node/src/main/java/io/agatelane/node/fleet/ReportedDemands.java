package io.agatelane.node.fleet;

import io.agatelane.core.fleet.FleetConfig;
import io.agatelane.core.fleet.ServiceDemand;
import io.agatelane.core.limits.AccountDemand;
import io.agatelane.core.limits.command.AccountRateLimiter;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;

/** Demand that a router observes at itself and reports to the others. */
final class ReportedDemands implements LoadGossip.OwnDemands {
    private final FleetState state;
    private final AccountRateLimiter accountLimiter;
    private final LongFunction<List<ServiceDemand>> serviceDemands;

    /**
     * Creates the reports.
     *
     * @param serviceDemands demand for services at a monotonic time in milliseconds
     */
    ReportedDemands(
            FleetState state, AccountRateLimiter accountLimiter, LongFunction<List<ServiceDemand>> serviceDemands) {
        this.state = state;
        this.accountLimiter = accountLimiter;
        this.serviceDemands = serviceDemands;
    }

    @Override
    public List<AccountDemand> accounts(long nowMillis) {
        return accountLimiter.reports(
                state.snapshot().config().map(FleetConfig::accountLimits).orElse(Map.of()), nowMillis);
    }

    @Override
    public List<ServiceDemand> services(long nowMillis) {
        return serviceDemands.apply(nowMillis);
    }
}
