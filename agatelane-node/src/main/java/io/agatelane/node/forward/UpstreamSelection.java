package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.EngineProfile;
import io.agatelane.core.fleet.FleetAccount;
import io.agatelane.core.fleet.FleetService;
import io.agatelane.core.fleet.NamedWeights;
import io.agatelane.core.fleet.Prompt;
import io.agatelane.core.fleet.Route;
import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.CandidateSample;
import io.agatelane.core.fleet.query.Choice;
import io.agatelane.core.fleet.query.PromptCache;
import io.agatelane.core.fleet.query.PromptRequest;
import io.agatelane.core.fleet.query.QueueRule;
import io.agatelane.core.fleet.query.WeightsRule;
import io.agatelane.node.api.CallerRequest;
import io.agatelane.node.fleet.FleetSnapshot;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Selects the upstream for each attempt of a request, or refuses the request when none could respond in time. */
final class UpstreamSelection {
    /** Shortest retry delay for callers of a busy service; a queue advances by some requests in this time. */
    static final long BUSY_RETRY_MILLIS = 150;

    // Assumed run time of a call without a prompt before any was observed.
    private static final double DEFAULT_CALL_MILLIS = 40;

    private final ForwardContext context;
    private final CallerRequest caller;
    private final Route route;
    private final Optional<FleetAccount> account;
    private final String service;
    private final int priority;

    UpstreamSelection(
            ForwardContext context,
            CallerRequest caller,
            Route route,
            Optional<FleetAccount> account,
            String service,
            int priority) {
        this.context = context;
        this.caller = caller;
        this.route = route;
        this.account = account;
        this.service = service;
        this.priority = priority;
    }

    /**
     * An upstream to send to.
     *
     * @param cache locations of the shared parts of the prompt; empty for requests without a prompt
     */
    record Selected(Choice choice, Optional<PromptCache> cache) {}

    /**
     * Selects an upstream.
     *
     * @param tried keys of upstreams that the request has been sent to
     * @param isFirst whether no attempt was made yet; only then may a queue be a reason to refuse the request
     * @throws AgatelaneException with {@code NO_UPSTREAM} or {@code OVERLOADED} and the time after which to retry
     */
    Selected select(FleetSnapshot snapshot, Set<String> tried, boolean isFirst, long nowMillis, long leftMillis) {
        Optional<EngineProfile> engine =
                snapshot.config().flatMap(config -> config.service(service)).flatMap(FleetService::engine);
        // A service without engines has no weights and no cache, even if the caller sends prompt headers.
        Optional<Prompt> prompt = caller.prompt().filter(ignored -> engine.isPresent());
        List<Candidate> candidates =
                context.state().candidates(snapshot, service, prompt.map(Prompt::model), tried, nowMillis);
        Optional<Selected> selected = prompt.isPresent()
                ? selectEngine(snapshot, candidates, prompt.get(), engine.get(), nowMillis)
                : context.chooser()
                        .chooseForCall(candidates, DEFAULT_CALL_MILLIS)
                        .map(choice -> new Selected(choice, Optional.empty()));
        if (selected.isEmpty()) {
            throw new AgatelaneException(FailureType.NO_UPSTREAM, "no upstream of " + service + " accepts work")
                    .withRetryAfterMillis(BUSY_RETRY_MILLIS);
        }
        Choice choice = selected.get().choice();
        if (isFirst && prompt.isPresent()) {
            checkQueue(choice);
        }
        checkTime(choice, leftMillis);
        return selected.get();
    }

    private void checkQueue(Choice choice) {
        OptionalLong busyMillis = QueueRule.retryAfterMillis(choice, route.latencyObjectiveMillis());
        if (busyMillis.isPresent()) {
            throw new AgatelaneException(
                            FailureType.OVERLOADED,
                            "every engine has a queue of " + Math.round(choice.queueMillis()) + " ms or more")
                    .withRetryAfterMillis(busyMillis.getAsLong());
        }
    }

    private static void checkTime(Choice choice, long leftMillis) {
        double expected = choice.expectedMillis();
        if (expected > leftMillis) {
            long retryMillis = Math.max(BUSY_RETRY_MILLIS, Math.round(expected - leftMillis));
            throw new AgatelaneException(
                            FailureType.OVERLOADED,
                            "the response would take " + Math.round(expected) + " ms; the time left in ms is "
                                    + leftMillis)
                    .withRetryAfterMillis(retryMillis);
        }
    }

    private Optional<Selected> selectEngine(
            FleetSnapshot snapshot, List<Candidate> candidates, Prompt prompt, EngineProfile engine, long nowMillis) {
        Optional<NamedWeights> requested = snapshot.requestedWeights(prompt.model());
        List<Candidate> allowed = requested
                .map(weights -> WeightsRule.allowed(
                        candidates, weights, nowMillis, context.settings().weightsMillis()))
                .orElse(candidates);
        long newest = requested.map(NamedWeights::newest).orElse(0L);
        PromptCache cache = new PromptCache(
                context.state().placements(),
                prompt,
                engine,
                context.state().cacheStore(),
                account.filter(FleetAccount::isolated).map(FleetAccount::name),
                allowed);
        PromptRequest promptRequest =
                new PromptRequest(prompt, engine, priority, newest, route.latencyObjectiveMillis());
        List<Candidate> sampled = sample(allowed, prompt, cache, newest);
        Optional<Choice> choice = context.chooser().chooseForPrompt(sampled, promptRequest, cache);
        boolean isBusy = choice.isEmpty()
                || QueueRule.retryAfterMillis(choice.get(), route.latencyObjectiveMillis())
                        .isPresent();
        // A request is refused only when no engine at all could take it.
        boolean compareAll = isBusy && sampled.size() < allowed.size();
        return (compareAll ? context.chooser().chooseForPrompt(allowed, promptRequest, cache) : choice)
                .map(found -> new Selected(found, Optional.of(cache)));
    }

    private List<Candidate> sample(List<Candidate> allowed, Prompt prompt, PromptCache cache, long newest) {
        if (context.state().routerCount() <= CandidateSample.SMALL_FLEET) {
            return allowed;
        }
        CandidateSample candidateSample = new CandidateSample(context.settings().zone(), newest);
        return cache.hasLongPrefix()
                ? candidateSample.forPrefix(
                        allowed,
                        prompt.sharedPrefixId(),
                        candidate -> cache.holds(candidate) || cache.isReading(candidate))
                : candidateSample.forRequest(allowed, caller.id());
    }
}
