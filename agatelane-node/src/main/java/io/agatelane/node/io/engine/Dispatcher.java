package io.agatelane.node.io.engine;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.routing.Decision;
import io.agatelane.core.routing.ModelFleet;
import io.agatelane.core.routing.RequestProfile;
import io.agatelane.core.routing.query.ChoiceConstraints;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Chooses the engine of an attempt and writes the decision to the log. */
final class Dispatcher {
    private static final long NO_UPSTREAM_RETRY_MILLIS = 1_000;
    private static final long LONG_SHARE_RETRY_MILLIS = 1_000;

    private final TrafficContext traffic;

    Dispatcher(TrafficContext traffic) {
        this.traffic = traffic;
    }

    /**
     * Chooses an engine.
     *
     * @param tried names of engines that must not be used
     * @throws AgatelaneException when no engine can take the request now
     */
    EngineChoice choose(
            ChatRequest request, String requestId, RequestProfile profile, Set<String> tried, int attemptNumber) {
        ModelFleet fleet = traffic.table().fleet(request.model());
        ChoiceConstraints constraints =
                new ChoiceConstraints(request.policy(), traffic.routers(), upstream -> tried.contains(upstream.name()));
        long startNanos = System.nanoTime();
        Decision decision = traffic.chooser().choose(fleet, profile, constraints, traffic.nowMillis());
        traffic.metrics().decisionMicros.update(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
        RouteLog.write(requestId, request, decision, attemptNumber);
        if (decision.best() < 0) {
            throw noEngine(request, decision);
        }
        String name = decision.upstream(decision.best()).name();
        return traffic.table()
                .engine(name)
                .map(engine ->
                        EngineChoice.of(engine, decision, request.prompt().tokenCount()))
                .orElseThrow(() -> noEngine(request, decision));
    }

    /**
     * Prepares an attempt; the calling method starts its stream.
     *
     * @param position the position in the response from which the attempt continues
     */
    EngineAttempt newAttempt(
            EngineStream.Listener listener,
            ChatRequest request,
            EngineChoice choice,
            String engineRequestId,
            StreamPosition position,
            long arrivedMillis) {
        traffic.metrics().attempts.inc();
        long nowMillis = traffic.nowMillis();
        Engine engine = choice.engine();
        if (engine.state().probation()) {
            engine.state().recordProbe(nowMillis);
        }
        String incarnation = engine.state().report().incarnation();
        int priority = EngineRequestBody.priority(choice.longRequest(), nowMillis - arrivedMillis);
        byte[] body = EngineRequestBody.write(request, position, priority);
        String weights = request.model().weightsVersion();
        EngineStream stream = new EngineStream(
                traffic.client().chat(engine.baseUrl(), body, engineRequestId, incarnation, weights),
                listener,
                traffic::nowMillis);
        // The reservation is made last, so that a failure above cannot leak it.
        EngineReservation reservation =
                new EngineReservation(engine.state(), choice.prefillTokens(), choice.longRequest(), nowMillis);
        EngineAttempt attempt =
                new EngineAttempt(choice, incarnation, engineRequestId, position.nextOffset(), reservation, nowMillis);
        attempt.setStream(stream);
        return attempt;
    }

    private static AgatelaneException noEngine(ChatRequest request, Decision decision) {
        for (int i = 0; i < decision.count(); i++) {
            if (decision.exclusion(i) == Decision.Exclusion.LONG_SHARE) {
                return new AgatelaneException(FailureType.OVERLOADED, "all slots for long requests are in use")
                        .withRetryAfterMillis(LONG_SHARE_RETRY_MILLIS);
            }
        }
        return new AgatelaneException(
                        FailureType.NO_UPSTREAM,
                        "no engine is ready for " + request.model().name())
                .withRetryAfterMillis(NO_UPSTREAM_RETRY_MILLIS);
    }
}
