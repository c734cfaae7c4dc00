package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.fleet.FleetConfig;
import io.agatelane.core.fleet.Route;
import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.Choice;
import io.agatelane.node.fleet.FleetKnowledge;
import io.agatelane.node.util.EventLog;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Request;

/** Log lines and metrics of forwarded requests. */
final class CallLog {
    private static final EventLog LOG = EventLog.of(CallLog.class);
    private static final long UNKNOWN = -1;

    private CallLog() {}

    /** A request that was refused before it was forwarded. */
    static void refused(ForwardContext context, Request request, String id, AgatelaneException failure) {
        FleetKnowledge known = context.state().knowledge();
        LOG.event("request_refused")
                .with("id", id)
                .with("method", request.getMethod())
                .with("type", failure.type().code())
                .with("reason", failure.getMessage())
                .with("config", version(known))
                .with("proof_age_ms", proofAgeMillis(context, known))
                .info();
        context.metrics()
                .counter("requests_" + failure.type().code().replace('-', '_') + "_total")
                .inc();
    }

    /** A decision where a request goes. */
    static void sent(ForwardContext context, String id, int send, Choice choice, FleetKnowledge known) {
        Candidate chosen = choice.candidate();
        LOG.event("request_sent")
                .with("id", id)
                .with("send", send)
                .with("upstream", chosen.upstream().key())
                .with("weights", chosen.weightsVersion())
                .with("expected_ms", choice.expectedMillis())
                .with("queue_ms", choice.queueMillis())
                .with("prefill_ms", choice.prefillMillis())
                .with("requests", chosen.estimate().requests())
                .with("silent_ms", chosen.estimate().oldestUnansweredMillis())
                .with("failures", chosen.estimate().failures())
                .with("cache_source", choice.cacheSource().orElse("none"))
                .with("config", version(known))
                .with("proof_age_ms", proofAgeMillis(context, known))
                .info();
    }

    /** The end of one send. */
    static void sendEnded(String id, int send, String upstream, String outcome, String detail) {
        LOG.event("send_ended")
                .with("id", id)
                .with("send", send)
                .with("upstream", upstream)
                .with("outcome", outcome)
                .with("detail", detail)
                .info();
    }

    /** The end of a request. */
    static void ended(
            ForwardContext context,
            String id,
            Route route,
            int status,
            String outcome,
            int sends,
            long firstByteMillis,
            long totalMillis) {
        LOG.event("request_ended")
                .with("id", id)
                .with("route", route.name())
                .with("status", status)
                .with("outcome", outcome)
                .with("sends", sends)
                .with("first_byte_ms", firstByteMillis)
                .with("total_ms", totalMillis)
                .info();
        context.metrics().counter("requests_" + outcome + "_total").inc();
        if (firstByteMillis >= 0) {
            context.metrics().timer("first_byte").update(firstByteMillis, TimeUnit.MILLISECONDS);
        }
    }

    private static long version(FleetKnowledge known) {
        return known.config().map(FleetConfig::version).orElse(UNKNOWN);
    }

    private static long proofAgeMillis(ForwardContext context, FleetKnowledge known) {
        return known.proof()
                .map(proof -> proof.ageMillis(
                        context.timers().monotonicMillis(), context.timers().epochMillis()))
                .orElse(UNKNOWN);
    }
}
