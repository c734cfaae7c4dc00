package io.agatelane.core.failure;

/**
 * Type of a failure of a call, a configuration change or an internal operation, with its HTTP status and whether the
 * call may have run.
 */
public enum FailureType {
    MALFORMED_REQUEST("malformed-request", 400, Executed.NO),
    IDEMPOTENCY_KEY_REQUIRED("idempotency-key-required", 400, Executed.NO),
    UNAUTHENTICATED("unauthenticated", 401, Executed.NO),
    NOT_FOUND("not-found", 404, Executed.NO),
    MODEL_NOT_FOUND("model-not-found", 404, Executed.NO),
    METHOD_NOT_ALLOWED("method-not-allowed", 405, Executed.NO),
    REQUEST_TIMEOUT("request-timeout", 408, Executed.NO),
    CONFLICT("conflict", 409, Executed.NO),
    BODY_TOO_LARGE("body-too-large", 413, Executed.NO),
    IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", 422, Executed.NO),
    QUARANTINED_REQUEST("quarantined-request", 422, Executed.NO),
    ACCOUNT_LIMIT("account-limit", 429, Executed.NO),
    OVERLOADED("overloaded", 503, Executed.NO),
    NO_MEMORY("no-memory", 503, Executed.NO),
    SHUTTING_DOWN("shutting-down", 503, Executed.NO),
    QUARANTINED_PROMPT("quarantined-prompt", 503, Executed.NO),
    NO_UPSTREAM("no-upstream", 503, Executed.NO),
    PLATFORM_UNAVAILABLE("platform-unavailable", 503, Executed.NO),
    BOOKING_IN_PROGRESS("booking-in-progress", 409, Executed.UNKNOWN),
    OUTCOME_UNKNOWN("outcome-unknown", 502, Executed.UNKNOWN),
    UPSTREAM_FAILED("upstream-failed", 502, Executed.UNKNOWN),
    UPSTREAM_TIMEOUT("upstream-timeout", 504, Executed.UNKNOWN),
    STREAM_NOT_RESUMABLE("stream-not-resumable", 409, Executed.UNKNOWN),
    INVALID_SETTINGS("invalid-settings", 500, Executed.NO),
    INVALID_OBJECT("invalid-object", 400, Executed.NO),
    CONFIG_REGRESSED("config-regressed", 503, Executed.NO),
    CONFIG_DIVERGED("config-diverged", 409, Executed.NO),
    SWAP_LOST("swap-lost", 409, Executed.NO),
    WRITE_OUTCOME_UNKNOWN("write-outcome-unknown", 503, Executed.UNKNOWN),
    PEER_UNREACHABLE("peer-unreachable", 503, Executed.UNKNOWN),
    INTERNAL("internal", 500, Executed.UNKNOWN);

    private final String code;
    private final int httpStatus;
    private final Executed executed;

    FailureType(String code, int httpStatus, Executed executed) {
        this.code = code;
        this.httpStatus = httpStatus;
        this.executed = executed;
    }

    /** Returns the stable name used in problem documents, logs and metrics. */
    public String code() {
        return code;
    }

    /** Returns the HTTP status of the response to a caller. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether the call may have run, unless the exception states otherwise. */
    public Executed executed() {
        return executed;
    }
}
