package io.agatelane.node.io.engine;

import io.agatelane.core.routing.Decision;
import io.agatelane.node.util.EventLog;
import java.util.Locale;

/** Writes the log event of a routing decision. */
final class RouteLog {
    private static final EventLog LOG = EventLog.of(RouteLog.class);

    private RouteLog() {}

    /** Writes the chosen engine with the terms of its score, and the totals of the other candidates. */
    static void write(String requestId, ChatRequest request, Decision decision, int attemptNumber) {
        EventLog.Event event = LOG.event("route")
                .with("request", requestId)
                .with("run", attemptNumber)
                .with("account", request.account().name())
                .with("model", request.model().name())
                .with("prompt_tokens", request.prompt().tokenCount());
        int best = decision.best();
        if (best < 0) {
            event.with("upstream", "none");
        } else {
            event.with("upstream", decision.upstream(best).name())
                    .with("network_millis", decision.networkMillis(best))
                    .with("queue_millis", decision.queueMillis(best))
                    .with("prefill_millis", decision.prefillMillis(best))
                    .with("total_millis", decision.totalMillis(best))
                    .with("cached_tokens", decision.cachedTokens(best));
        }
        event.with("candidates", candidates(decision)).info();
    }

    private static String candidates(Decision decision) {
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < decision.count(); i++) {
            out.append(i == 0 ? "" : ",").append(decision.upstream(i).name()).append(':');
            if (decision.exclusion(i) == Decision.Exclusion.NONE) {
                out.append(String.format(Locale.ROOT, "%.1f", decision.totalMillis(i)));
            } else {
                out.append(decision.exclusion(i).wireName());
            }
        }
        return out.isEmpty() ? "none" : out.toString();
    }
}
