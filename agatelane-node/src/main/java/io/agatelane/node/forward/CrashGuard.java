package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.FleetAccount;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.Prompt;
import io.agatelane.core.fleet.command.AbandonedRequests;
import io.agatelane.core.fleet.command.CrashSuspects;
import io.agatelane.core.fleet.command.PartSuspects;
import io.agatelane.node.api.CallerRequest;
import io.agatelane.node.fleet.FleetState;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.eclipse.jetty.server.Request;

/** Keeps one request away from upstreams if it, or a part of its prompt, has crashed several of them. */
final class CrashGuard {
    // Hashing a longer body of each answered request takes too much processor time.
    private static final int MAX_REMEMBERED_BODY_BYTES = 64 << 10;

    private final ForwardContext context;
    private final Request request;
    private final Optional<FleetAccount> account;
    private final byte[] body;
    private final List<Long> sharedParts;
    private long fingerprint;
    private boolean hasFingerprint;

    CrashGuard(
            ForwardContext context,
            Request request,
            CallerRequest caller,
            Optional<FleetAccount> account,
            byte[] body) {
        this.context = context;
        this.request = request;
        this.account = account;
        this.body = body;
        this.sharedParts = caller.prompt().map(Prompt::sharedParts).orElse(List.of()).stream()
                .map(PartSuspects::fingerprint)
                .toList();
    }

    /**
     * Checks that the request may be sent.
     *
     * @throws AgatelaneException with {@code QUARANTINED_REQUEST} or {@code QUARANTINED_PROMPT}
     */
    void check(long nowMillis) {
        CrashSuspects suspects = context.state().suspects();
        if (!suspects.isEmpty() && suspects.isQuarantined(fingerprint(), nowMillis)) {
            context.metrics().counter("requests_quarantined_total").inc();
            throw new AgatelaneException(
                    FailureType.QUARANTINED_REQUEST, "upstreams have crashed while they ran this request");
        }
        OptionalLong quarantineMillis = context.state().partSuspects().quarantineMillis(sharedParts, nowMillis);
        if (quarantineMillis.isPresent()) {
            context.metrics().counter("prompts_quarantined_total").inc();
            throw new AgatelaneException(
                            FailureType.QUARANTINED_PROMPT, "engines have crashed under a part of this prompt")
                    .withRetryAfterMillis(quarantineMillis.getAsLong());
        }
    }

    /**
     * Records that an upstream was lost while it ran the request.
     *
     * @param hasEvent whether it had begun to write a stream; a part on which an engine writes does not end it
     * @param isPrompt whether the upstream is an engine and the request a prompt
     */
    void recordLost(UpstreamAttempt attempt, CallerRequest caller, boolean hasEvent, boolean isPrompt) {
        long fingerprint = fingerprint();
        ForwardLog.upstreamLost(attempt, caller, fingerprint, hasEvent);
        long nowMillis = context.timers().monotonicMillis();
        long upstream = FleetState.keyHash(attempt.upstream());
        context.state().suspects().recordCrash(fingerprint, upstream, nowMillis);
        if (isPrompt && !hasEvent) {
            context.state().partSuspects().recordEnd(sharedParts, upstream, nowMillis);
        }
    }

    /**
     * Records that the request is given up at an upstream that has not begun to write a response, so that a crash by it
     * cannot be seen. An upstream that was silent already when the request was sent has not crashed because of it.
     */
    void recordAbandoned(UpstreamAttempt attempt) {
        if (attempt.wasUpstreamSilent()) {
            return;
        }
        long nowMillis = context.timers().monotonicMillis();
        context.state()
                .abandoned()
                .record(attempt.upstream().key(), new AbandonedRequests.Abandoned(fingerprint(), nowMillis));
    }

    /** Records that an upstream has responded, which shows that it had not ended before. */
    void recordResponse(FleetUpstream upstream, long sentMillis) {
        context.state().partSuspects().recordResponse(FleetState.keyHash(upstream), sentMillis);
    }

    /**
     * Records the end of a response.
     *
     * @param isSound whether the response shows that the upstream has run the request to its end
     * @param isWholeAnswer whether the prompt was answered
     */
    void recordComplete(boolean isSound, boolean isWholeAnswer) {
        if (isSound
                && (body.length <= MAX_REMEMBERED_BODY_BYTES
                        || !context.state().suspects().isEmpty())) {
            context.state()
                    .suspects()
                    .recordSuccess(fingerprint(), context.timers().monotonicMillis());
        }
        if (isWholeAnswer) {
            context.state()
                    .partSuspects()
                    .recordAnswer(sharedParts, context.timers().monotonicMillis());
        }
    }

    private long fingerprint() {
        if (!hasFingerprint) {
            fingerprint =
                    Fingerprint.of(request.getMethod(), request.getHttpURI().getPathQuery(), account, body);
            hasFingerprint = true;
        }
        return fingerprint;
    }
}
