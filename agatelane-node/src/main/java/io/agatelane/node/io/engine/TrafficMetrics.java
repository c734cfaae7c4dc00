package io.agatelane.node.io.engine;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/** Metrics of the model traffic. */
final class TrafficMetrics {
    final Counter requests;
    final Counter refused;
    final Counter failed;
    final Counter completed;
    final Counter attempts;
    final Counter retries;
    final Counter continuations;
    final Counter hedges;
    final Counter hedgesWon;
    final Counter hedgesWithoutBudget;
    final Counter crashes;
    final Counter reconnectProbes;
    final Counter mismatchedResponses;
    final Counter repeatedTokens;
    final Counter tokenGaps;
    final Counter callersDisconnected;
    final Counter promptTokens;
    final Counter cachedTokens;
    final Counter active;
    final Timer firstToken;
    final Histogram decisionMicros;

    TrafficMetrics(MetricRegistry registry) {
        requests = registry.counter("chat_requests_total");
        refused = registry.counter("chat_refused_total");
        failed = registry.counter("chat_failed_total");
        completed = registry.counter("chat_completed_total");
        attempts = registry.counter("engine_attempts_total");
        retries = registry.counter("engine_retries_total");
        continuations = registry.counter("stream_continuations_total");
        hedges = registry.counter("engine_hedges_total");
        hedgesWon = registry.counter("engine_hedges_won_total");
        hedgesWithoutBudget = registry.counter("engine_hedges_without_budget_total");
        crashes = registry.counter("engine_crashes_seen_total");
        reconnectProbes = registry.counter("stream_probes_total");
        mismatchedResponses = registry.counter("engine_mismatched_responses_total");
        repeatedTokens = registry.counter("stream_repeated_tokens_total");
        tokenGaps = registry.counter("stream_token_gaps_total");
        callersDisconnected = registry.counter("chat_callers_gone_total");
        promptTokens = registry.counter("prompt_tokens_total");
        cachedTokens = registry.counter("prompt_cached_tokens_total");
        active = registry.counter("chat_active");
        firstToken = registry.timer("chat_first_token_seconds");
        decisionMicros = registry.histogram("routing_decision_micros");
    }
}
