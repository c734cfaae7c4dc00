package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.ServiceDemand;
import io.agatelane.core.fleet.command.CallConcurrency.Decision;
import io.agatelane.core.fleet.command.ServiceShares;
import io.agatelane.node.util.EventLog;
import java.util.OptionalDouble;

/** Log lines and metrics of requests that wait or are refused because of this router's share of a service. */
final class ShareLog {
    private static final EventLog LOG = EventLog.of(ShareLog.class);

    private ShareLog() {}

    /** Logs that a call waits for a slot of this router's part. */
    static void callWaits(ForwardContext context, String service, String id, Decision decision) {
        LOG.event("call_waiting")
                .with("id", id)
                .with("service", service)
                .with("reason", "slots")
                .with("part_slots", decision.part())
                .with("demand_slots", decision.demand())
                .with("expected_ms", decision.waitMillis())
                .info();
        context.metrics().counter("calls_waiting_total").inc();
    }

    /** Logs and returns the refusal of a request whose account and priority exceed their share of a service. */
    static AgatelaneException shareExceeded(
            ForwardContext context,
            String service,
            String id,
            ServiceDemand.Key key,
            ServiceShares.Refusal refusal,
            OptionalDouble capacity) {
        long retryAfterMillis = UpstreamSelection.BUSY_RETRY_MILLIS + refusal.retryAfterMillis();
        LOG.event("share_exceeded")
                .with("id", id)
                .with("service", service)
                .with("account", Long.toHexString(key.account()))
                .with("priority", key.priority())
                .with("admitted_fraction", refusal.fraction())
                .with("capacity_ms_per_s", capacity.orElse(0))
                .with("retry_after_ms", retryAfterMillis)
                .info();
        context.metrics().counter("requests_refused_by_share_total").inc();
        return new AgatelaneException(
                        FailureType.OVERLOADED,
                        service + " is saturated, and the request exceeds the share of its account and priority")
                .withRetryAfterMillis(retryAfterMillis);
    }

    /** Logs that a call is refused because no slot of this router's part becomes free in time. */
    static void callRefused(ForwardContext context, String service, String id, Decision decision, double othersDemand) {
        LOG.event("call_refused")
                .with("id", id)
                .with("service", service)
                .with("reason", "slots")
                .with("part_slots", decision.part())
                .with("demand_slots", decision.demand())
                .with("others_demand_slots", othersDemand)
                .with("expected_ms", decision.waitMillis())
                .with("retry_after_ms", decision.retryAfterMillis())
                .info();
        context.metrics().counter("calls_refused_by_share_total").inc();
    }
}
