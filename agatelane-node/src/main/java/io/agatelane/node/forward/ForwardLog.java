package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.fleet.ClockReading;
import io.agatelane.core.fleet.FleetConfig;
import io.agatelane.core.fleet.OutputEstimate;
import io.agatelane.core.fleet.Prompt;
import io.agatelane.core.fleet.PromptPart;
import io.agatelane.core.fleet.Route;
import io.agatelane.core.fleet.command.UpstreamNotices;
import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.UpstreamChoice;
import io.agatelane.core.limits.RateDecision;
import io.agatelane.core.limits.command.AccountRateLimiter.LimitedRequest;
import io.agatelane.node.api.CallerRequest;
import io.agatelane.node.fleet.FleetSnapshot;
import io.agatelane.node.util.EventLog;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.eclipse.jetty.server.Request;

/** Log lines and metrics of forwarded requests. */
final class ForwardLog {
    private static final EventLog LOG = EventLog.of(ForwardLog.class);
    private static final long UNKNOWN = -1;
    // Below this, the network determines the time to the first byte.
    private static final double MIN_COMPARED_MILLIS = 5;
    private static final double PERCENT = 100;

    private ForwardLog() {}

    /** Logs a request that was refused before it was forwarded. */
    static void refused(ForwardContext context, Request request, String id, AgatelaneException failure) {
        FleetSnapshot snapshot = context.state().snapshot();
        LOG.event("request_refused")
                .with("id", id)
                .with("method", request.getMethod())
                .with("type", failure.type().code())
                .with("reason", failure.getMessage())
                .with("config", version(snapshot))
                .with("proof_age_ms", configAgeMillis(context, snapshot))
                .info();
        context.metrics()
                .counter("requests_" + failure.type().code().replace('-', '_') + "_total")
                .inc();
    }

    /** Logs that a request is sent to a chosen upstream, and why. */
    static void sent(
            ForwardContext context, CallerRequest caller, int attempt, UpstreamChoice choice, FleetSnapshot snapshot) {
        Candidate chosen = choice.candidate();
        long peerAgeMillis = context.state().peerAgeMillis(context.timers().monotonicMillis());
        context.metrics().histogram("peer_load_age_ms").update(peerAgeMillis);
        LOG.event("request_sent")
                .with("id", caller.id())
                .with("send", attempt)
                .with("upstream", chosen.upstream().key())
                .with("weights", chosen.weightsVersion())
                .with("replaced_ms", replacedMillis(context, caller, chosen))
                .with("expected_ms", choice.expectedMillis())
                .with("queue_ms", choice.queueMillis())
                .with("prefill_ms", choice.prefillMillis())
                .with("other_prefill_ms", choice.interference().workMillis())
                .with("requests", chosen.estimate().requests())
                .with("duration_percent", chosen.estimate().durationPercent())
                .with("memory_tokens", chosen.estimate().memoryTokens())
                .with("silent_ms", chosen.estimate().oldestUnansweredMillis())
                .with("failures", chosen.estimate().failures())
                .with("peer_age_ms", peerAgeMillis)
                .with("cache_source", choice.cacheSource().orElse("none"))
                .with("config", version(snapshot))
                .with("proof_age_ms", configAgeMillis(context, snapshot))
                .info();
    }

    /**
     * Logs that an upstream has begun to answer, if its weights are replaced by newer ones.
     *
     * @param waitMillis time since the request was sent
     */
    static void started(ForwardContext context, CallerRequest caller, UpstreamAttempt attempt, long waitMillis) {
        Candidate chosen = attempt.choice().candidate();
        long replacedMillis = replacedMillis(context, caller, chosen);
        if (replacedMillis == UNKNOWN) {
            return;
        }
        LOG.event("replaced_weights_started")
                .with("id", caller.id())
                .with("upstream", chosen.upstream().key())
                .with("weights", chosen.weightsVersion())
                .with("replaced_ms", replacedMillis)
                .with("wait_ms", waitMillis)
                .info();
        context.metrics().histogram("replaced_weights_age_ms").update(replacedMillis);
        context.metrics().histogram("replaced_weights_wait_ms").update(waitMillis);
    }

    // Time since weights were requested that replace those of an engine; negative when it has the newest.
    private static long replacedMillis(ForwardContext context, CallerRequest caller, Candidate engine) {
        ClockReading now = context.timers().now();
        return caller.prompt()
                .filter(prompt -> engine.weightsVersion() > 0)
                .flatMap(prompt -> context.state().snapshot().requestedWeights(prompt.model()))
                .flatMap(requested -> requested.replacementOf(engine.weightsVersion()))
                .map(replacement -> replacement.earliest().ageMillis(now.monotonicMillis(), now.epochMillis()))
                .orElse(UNKNOWN);
    }

    /** Records how the time to the first byte of a response compares with the expected one. */
    static void firstByte(ForwardContext context, UpstreamChoice choice, long observedMillis) {
        double expectedMillis = Math.max(MIN_COMPARED_MILLIS, choice.expectedMillis());
        context.metrics()
                .histogram("first_byte_by_expected_percent")
                .update(Math.round(observedMillis / expectedMillis * PERCENT));
    }

    /** Records how the length of an output compares with the expected one. */
    static void output(ForwardContext context, OutputEstimate expected, int events) {
        context.metrics()
                .histogram("output_by_expected_percent")
                .update(Math.round(events / expected.tokens() * PERCENT));
    }

    /** Logs that a request waits because no engine has memory for its prompt. */
    static void waiting(ForwardContext context, String id, long expectedMillis, long maxMillis) {
        LOG.event("request_waiting")
                .with("id", id)
                .with("reason", "engine_memory")
                .with("expected_ms", expectedMillis)
                .with("max_ms", maxMillis)
                .info();
        context.metrics().counter("requests_waiting_total").inc();
    }

    /** Logs a request that was refused because its account exceeds its rate limit. */
    static void accountRefused(
            ForwardContext context, String id, String account, LimitedRequest request, RateDecision decision) {
        LOG.event("account_limit")
                .with("id", id)
                .with("account", account)
                .with("limit_unit", request.limit().unit().plural())
                .with("units", request.units())
                .with("rate", request.limit().ratePerSecond())
                .with("admitted_fraction", decision.fraction())
                .with("fleet_demand", decision.demandPerSecond())
                .with("level", decision.level())
                .with("share", decision.share())
                .with("retry_after_ms", decision.retryAfterMillis())
                .info();
        context.metrics().counter("account_limit_refused_units_total").inc(request.units());
    }

    /** Logs that an upstream has announced that it leaves. */
    static void upstreamLeaving(ForwardContext context, String upstream, int status) {
        LOG.event("upstream_leaving")
                .with("upstream", upstream)
                .with("status", status)
                .info();
        context.metrics().counter("upstreams_leaving_total").inc();
    }

    /** Logs that an upstream wants no requests for some time. */
    static void upstreamPaused(ForwardContext context, String upstream, long pauseMillis) {
        LOG.event("upstream_paused")
                .with("upstream", upstream)
                .with("pause_ms", pauseMillis)
                .with("applied_ms", Math.min(pauseMillis, UpstreamNotices.MAX_PAUSE_MILLIS))
                .info();
        context.metrics().counter("upstream_pauses_total").inc();
    }

    /** Logs that a caller has stopped reading its response, whose connection is closed therefore. */
    static void callerNotReading(ForwardContext context, String id, boolean upstreamHeld) {
        LOG.event("caller_not_reading")
                .with("id", id)
                .with("unread_ms", context.settings().heldBytes().unreadMillis())
                .with("upstream_held", upstreamHeld)
                .with("action", "closed")
                .info();
        context.metrics().counter("callers_not_reading_total").inc();
    }

    /** Logs that upstreams get no request because of the bytes that this router has in flight to them. */
    static void upstreamBytesFull(ForwardContext context, String id, long upstreams, int bodyBytes) {
        LOG.event("upstream_bytes_full")
                .with("id", id)
                .with("upstreams", upstreams)
                .with("body_bytes", bodyBytes)
                .with("limit", context.settings().heldBytes().upstreamBytes())
                .with("action", "not_sent_to_these")
                .info();
        context.metrics().counter("upstream_bytes_full_total").inc();
    }

    /** Logs the end of one attempt. */
    static void attemptEnded(String id, int attempt, String upstream, String outcome, String detail) {
        LOG.event("send_ended")
                .with("id", id)
                .with("send", attempt)
                .with("upstream", upstream)
                .with("outcome", outcome)
                .with("detail", detail)
                .info();
    }

    /** Logs that an upstream was lost under a request, with what other requests may have in common with it. */
    static void upstreamLost(UpstreamAttempt attempt, CallerRequest caller, long fingerprint, boolean hasEvent) {
        LOG.event("upstream_lost")
                .with("id", caller.id())
                .with("upstream", attempt.upstream().key())
                .with("fingerprint", Long.toHexString(fingerprint))
                .with(
                        "shared_parts",
                        caller.prompt().map(ForwardLog::sharedParts).orElse("none"))
                .with("head", attempt.hasResponse())
                .with("event", hasEvent)
                .info();
    }

    private static String sharedParts(Prompt prompt) {
        return prompt.sharedParts().stream().map(PromptPart::id).collect(Collectors.joining(","));
    }

    /** Logs the end of a request. */
    static void ended(
            ForwardContext context,
            String id,
            Route route,
            int status,
            String outcome,
            int attempts,
            RelayedBody body,
            long firstByteMillis,
            long totalMillis) {
        LOG.event("request_ended")
                .with("id", id)
                .with("route", route.name())
                .with("status", status)
                .with("outcome", outcome)
                .with("sends", attempts)
                .with("framing", body.framing())
                .with("body_bytes", body.totalBytes())
                .with("inside_event", body.isInsideEvent())
                .with("first_byte_ms", firstByteMillis)
                .with("total_ms", totalMillis)
                .info();
        context.metrics().counter("requests_" + outcome + "_total").inc();
        if (firstByteMillis >= 0) {
            context.metrics().timer("first_byte").update(firstByteMillis, TimeUnit.MILLISECONDS);
        }
    }

    private static long version(FleetSnapshot snapshot) {
        return snapshot.config().map(FleetConfig::version).orElse(UNKNOWN);
    }

    private static long configAgeMillis(ForwardContext context, FleetSnapshot snapshot) {
        return snapshot.configVerifiedAt()
                .map(verifiedAt -> verifiedAt.ageMillis(
                        context.timers().monotonicMillis(), context.timers().epochMillis()))
                .orElse(UNKNOWN);
    }
}
