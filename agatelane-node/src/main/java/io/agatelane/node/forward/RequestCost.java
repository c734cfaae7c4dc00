package io.agatelane.node.forward;

import io.agatelane.core.fleet.FleetAccount;
import io.agatelane.core.fleet.Interference;
import io.agatelane.core.fleet.OutputEstimate;
import io.agatelane.core.fleet.Prompt;
import io.agatelane.core.fleet.RequestKind;
import io.agatelane.core.fleet.RequestSource;
import io.agatelane.core.fleet.Route;
import io.agatelane.core.fleet.command.NormalDuration;
import io.agatelane.core.fleet.query.PrefixLocator;
import io.agatelane.core.fleet.query.UpstreamChoice;
import io.agatelane.node.api.CallerRequest;
import java.util.Optional;

/** The expected cost of one request, and what its responses show about costs and speeds. Not thread-safe. */
final class RequestCost {
    private static final double PERCENT = 100;
    // An upstream with a shorter queue begins with its next step.
    private static final double MAX_IDLE_QUEUE_MILLIS = 10;
    // Shorter streams take less time than a step of the engine varies by.
    private static final int MIN_TIMED_EVENTS = 4;

    private final ForwardContext context;
    private final Route route;
    private final String service;
    private final RequestSource source;
    private final OutputEstimate output;
    private long responseStartedMillis;

    RequestCost(
            ForwardContext context, CallerRequest caller, Route route, Optional<FleetAccount> account, String service) {
        this.context = context;
        this.route = route;
        this.service = service;
        this.source = new RequestSource(
                route.name(),
                account.map(FleetAccount::name).orElse(""),
                caller.expectedOutputTokens(),
                caller.prompt().map(Prompt::maxOutputTokens).orElse(0));
        this.output = context.outputTokens().estimate(source);
    }

    /** Returns the expected time that the request occupies its upstream after its prefill. */
    double outputMillis(boolean isPrompt) {
        return isPrompt
                ? output.tokens() * context.eventTimes(service).millis()
                : context.callTimes(service).millis();
    }

    /** Returns a time within which a request of this kind has probably ended, from sending it on. */
    double highWholeMillis() {
        return context.wholeTimes(route).highMillis();
    }

    /** Learns from the end of a response, or of the time that was allowed for it. */
    void recordWhole(UpstreamAttempt attempt, long now) {
        context.wholeTimes(route).record(now - attempt.startedMillis());
    }

    /** Learns from the start of a response that is no failure. */
    void recordResponse(UpstreamAttempt attempt, Optional<PrefixLocator> prefixLocator, long now) {
        responseStartedMillis = now;
        UpstreamChoice choice = attempt.choice();
        long observedMillis = now - attempt.startedMillis();
        if (choice.queueMillis() < MAX_IDLE_QUEUE_MILLIS) {
            if (prefixLocator.isEmpty()) {
                context.callTimes(service).record(observedMillis);
            }
            prefixLocator
                    .map(locator -> locator.prefillTokens(choice.candidate()))
                    .ifPresent(tokens -> tokens.ifPresent(
                            count -> context.prefillSpeed(service).record(count, observedMillis)));
        }
        Interference interference = choice.interference();
        double normalMillis =
                observedMillis * PERCENT / choice.candidate().estimate().durationPercent();
        double withoutOthersMillis = choice.normalMillis() - interference.delayMillis();
        context.interference(service).record(interference.workMillis(), normalMillis - withoutOthersMillis);
        NormalDuration.Sample sample =
                context.normalDuration(route, attempt.upstream().zone()).record(observedMillis, choice.normalMillis());
        context.state().load(attempt.upstream()).recordDuration(sample.factor(), sample.weight(), now);
        ForwardLog.firstByte(context, choice, observedMillis);
    }

    /**
     * Learns from a complete response to a prompt.
     *
     * @param attempts number of attempts; a stream that several contributed to has pauses and repeated events
     * @param events number of events of the response, one for each step of the engine
     */
    void recordOutput(int attempts, int events, long now) {
        if (attempts > 1 || route.kind() != RequestKind.STREAM || events == 0) {
            return;
        }
        context.outputTokens().record(source, events);
        if (events >= MIN_TIMED_EVENTS) {
            context.eventTimes(service).record((now - responseStartedMillis) / (double) events);
        }
        ForwardLog.output(context, output, events);
    }
}
