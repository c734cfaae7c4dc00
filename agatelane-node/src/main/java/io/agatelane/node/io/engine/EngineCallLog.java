package io.agatelane.node.io.engine;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.node.util.EventLog;

/** Writes the log events of one chat request. */
final class EngineCallLog {
    private static final EventLog LOG = EventLog.of(EngineCallLog.class);

    private final String requestId;

    EngineCallLog(String requestId) {
        this.requestId = requestId;
    }

    void resumed(EventId lastEvent) {
        event("stream_resumed", lastEvent.upstream())
                .with("engine_request", lastEvent.requestId())
                .with("offset", lastEvent.offset() + 1)
                .info();
    }

    void mismatch(EngineAttempt attempt, String receivedId) {
        event("response_mismatch", attempt.engine().name())
                .with("expected", attempt.engineRequestId())
                .with("received", String.valueOf(receivedId))
                .warning();
    }

    void refused(EngineAttempt attempt, int status, String type) {
        event("engine_refused", attempt.engine().name())
                .with("status", status)
                .with("type", type)
                .warning();
    }

    void broken(EngineAttempt attempt, long offset, String reason) {
        event("stream_broken", attempt.engine().name())
                .with("offset", offset)
                .with("reason", reason)
                .warning();
    }

    void crashed(EngineAttempt attempt, long offset) {
        event("engine_crashed", attempt.engine().name()).with("offset", offset).warning();
    }

    void hedgePromoted(EngineAttempt attempt, String reason) {
        event("hedge_promoted", attempt.engine().name()).with("reason", reason).info();
    }

    void hedgeWithoutEngine(EngineAttempt attempt, long waitedMillis) {
        event("hedge_without_engine", attempt.engine().name())
                .with("waited_millis", waitedMillis)
                .info();
    }

    void failed(AgatelaneException failure) {
        LOG.event("request_failed")
                .with("request", requestId)
                .with("type", failure.type().code())
                .with("executed", failure.executed().wireName())
                .with("detail", failure.getMessage())
                .warning();
    }

    private EventLog.Event event(String name, String upstream) {
        return LOG.event(name).with("request", requestId).with("upstream", upstream);
    }
}
