package io.agatelane.node.io.engine;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.limits.AccountTable;
import io.agatelane.core.limits.RatioBudget;
import io.agatelane.core.limits.command.AccountLimiter;
import io.agatelane.core.limits.query.AdmissionCheck;
import io.agatelane.core.poison.SuspectTable;
import io.agatelane.core.poison.command.CrashRecorder;
import io.agatelane.core.poison.query.QuarantineCheck;
import io.agatelane.core.routing.UpstreamState;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Admission control for chat requests: account limits, deadlines, quarantined requests, and the budgets of retries and
 * hedges.
 */
final class Admission {
    private static final double OUTPUT_AVERAGE_WEIGHT = 0.1;
    private static final long SUSPECT_RETRY_MILLIS = 1_000;

    private final SuspectTable suspects = new SuspectTable();
    private final CrashRecorder crashes = new CrashRecorder(suspects);
    private final QuarantineCheck quarantine = new QuarantineCheck(suspects);
    private final AccountLimiter limiter = new AccountLimiter(new AccountTable());
    private final RatioBudget retries = new RatioBudget();
    private final RatioBudget hedges = new RatioBudget();
    private final Map<String, Double> averageOutputTokens = new ConcurrentHashMap<>();

    AccountLimiter limiter() {
        return limiter;
    }

    CrashRecorder crashes() {
        return crashes;
    }

    RatioBudget retries() {
        return retries;
    }

    RatioBudget hedges() {
        return hedges;
    }

    /**
     * Refuses a request that is quarantined because engines crashed while running it, and a concurrent copy of a
     * suspect request.
     *
     * @param sameRequestRunning whether the same request is running on this router
     */
    void requireSafeToRun(ChatRequest request, boolean sameRequestRunning, long nowMillis) {
        String fingerprint = request.fingerprint().hex();
        if (quarantine.isQuarantined(fingerprint, nowMillis)) {
            crashes.recordRefused(fingerprint, nowMillis);
            throw quarantined();
        }
        // Concurrent copies of a suspect request could crash more engines before the second crash is detected.
        if (sameRequestRunning && quarantine.isSuspect(fingerprint, nowMillis)) {
            throw new AgatelaneException(
                            FailureType.OVERLOADED,
                            "the same request is running, and an engine has crashed while running it")
                    .withRetryAfterMillis(SUSPECT_RETRY_MILLIS);
        }
    }

    boolean isSuspect(ChatRequest request, long nowMillis) {
        return isSuspect(request.fingerprint(), nowMillis);
    }

    boolean isSuspect(RequestFingerprint fingerprint, long nowMillis) {
        return quarantine.isSuspect(fingerprint.hex(), nowMillis);
    }

    boolean isQuarantined(ChatRequest request, long nowMillis) {
        return quarantine.isQuarantined(request.fingerprint().hex(), nowMillis);
    }

    static AgatelaneException quarantined() {
        return new AgatelaneException(
                FailureType.QUARANTINED_REQUEST,
                "engines crashed while running this request; it is quarantined for a limited time");
    }

    static AgatelaneException notResumable(String reason) {
        return new AgatelaneException(
                FailureType.STREAM_NOT_RESUMABLE, reason + "; repeat the request without Last-Event-ID");
    }

    /**
     * Admits a request for its best candidate engine and returns the number of tokens charged to the account.
     *
     * @throws AgatelaneException when the first token is expected too late, or the account is over its limit or its
     *     share
     */
    long admit(ChatRequest request, EngineChoice choice, long nowMillis) {
        long tokens = request.prompt().tokenCount() + (long) expectedOutput(request);
        limiter.recordDemand(request.account(), tokens, nowMillis);
        UpstreamState state = choice.engine().state();
        double expectedMillis = AdmissionCheck.correctedMillis(
                choice.totalMillis(), state.latencyFactor(), nowMillis - state.lastLatencySampleMillis());
        AdmissionCheck.requireWithinDeadline(expectedMillis, request.policy());
        double pressure = AdmissionCheck.pressure(expectedMillis, request.policy());
        limiter.admit(request.account(), tokens, pressure, nowMillis);
        retries.recordRequest(request.policy().retryPercent());
        if (request.stream() && !choice.longRequest()) {
            hedges.recordRequest(request.policy().hedgePercent());
        }
        return tokens;
    }

    /** Replaces the tokens charged at admission by the tokens that the request used. */
    void settle(ChatRequest request, long chargedTokens, long promptTokens, long generatedTokens, long nowMillis) {
        limiter.correctCharge(request.account(), promptTokens + generatedTokens - chargedTokens, nowMillis);
        if (generatedTokens > 0) {
            averageOutputTokens.merge(
                    outputKey(request),
                    (double) generatedTokens,
                    (previous, latest) -> previous + OUTPUT_AVERAGE_WEIGHT * (latest - previous));
        }
    }

    /**
     * Returns the expected number of response tokens: the caller's limit, or else the moving average of the account's
     * responses from the model.
     */
    int expectedOutput(ChatRequest request) {
        if (request.maxTokensGiven()) {
            return request.maxTokens();
        }
        Double average = averageOutputTokens.get(outputKey(request));
        return average == null ? request.maxTokens() : (int) Math.min(request.maxTokens(), Math.ceil(average));
    }

    private static String outputKey(ChatRequest request) {
        return request.account().name() + "/" + request.model().name();
    }
}
