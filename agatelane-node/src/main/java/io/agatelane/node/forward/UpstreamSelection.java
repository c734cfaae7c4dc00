package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.EngineProfile;
import io.agatelane.core.fleet.FleetAccount;
import io.agatelane.core.fleet.FleetConfig;
import io.agatelane.core.fleet.FleetService;
import io.agatelane.core.fleet.PriorityLevels;
import io.agatelane.core.fleet.Prompt;
import io.agatelane.core.fleet.RequestedWeights;
import io.agatelane.core.fleet.Route;
import io.agatelane.core.fleet.ServiceDemand;
import io.agatelane.core.fleet.command.CallConcurrency.Action;
import io.agatelane.core.fleet.command.CallConcurrency.Call;
import io.agatelane.core.fleet.command.CallConcurrency.Decision;
import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.CandidateSampler;
import io.agatelane.core.fleet.query.EngineCandidates;
import io.agatelane.core.fleet.query.EngineRoom;
import io.agatelane.core.fleet.query.PrefixLocator;
import io.agatelane.core.fleet.query.PromptRequest;
import io.agatelane.core.fleet.query.QueueLimit;
import io.agatelane.core.fleet.query.UpstreamChoice;
import io.agatelane.core.hash.Rendezvous;
import io.agatelane.node.api.CallerRequest;
import io.agatelane.node.fleet.FleetSnapshot;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

/** Selects the upstream for each attempt of a request, or refuses the request when none could respond in time. */
final class UpstreamSelection {
    /** Shortest retry delay for callers of a busy service; a queue advances by some requests in this time. */
    static final long BUSY_RETRY_MILLIS = 150;

    private final ForwardContext context;
    private final CallerRequest caller;
    private final Route route;
    private final Optional<FleetAccount> account;
    private final String service;
    private final int priority;
    private final ServiceAdmission.Waiter waiter;
    private Optional<Decision> released = Optional.empty();

    /**
     * Creates the selection for one request.
     *
     * @param priority priority with which engines admit the request
     * @param waiter the request itself, which is released when it has waited for a slot
     */
    UpstreamSelection(
            ForwardContext context,
            CallerRequest caller,
            Route route,
            Optional<FleetAccount> account,
            String service,
            int priority,
            ServiceAdmission.Waiter waiter) {
        this.context = context;
        this.caller = caller;
        this.route = route;
        this.account = account;
        this.service = service;
        this.priority = priority;
        this.waiter = waiter;
    }

    /**
     * An upstream to send to.
     *
     * @param prefixLocator locations of the shared parts of the prompt; empty for requests without a prompt
     */
    record Selected(UpstreamChoice choice, Optional<PrefixLocator> prefixLocator) {}

    /**
     * Selects an upstream.
     *
     * @param tried keys of upstreams that the request has been sent to
     * @param isFirst whether no attempt was made yet; only then may a queue be a reason to refuse the request, and a
     *     full memory a reason to let it wait
     * @param isNext whether the request is the first one that waits for room at an engine
     * @return empty when the request should wait because no engine has room for it, or no slot is free for a call
     * @throws AgatelaneException with {@code NO_UPSTREAM} or {@code OVERLOADED} and the time after which to retry
     */
    Optional<Selected> select(
            FleetSnapshot snapshot,
            Set<String> tried,
            boolean isFirst,
            boolean isNext,
            long nowMillis,
            long leftMillis) {
        Optional<EngineProfile> engine =
                snapshot.config().flatMap(config -> config.service(service)).flatMap(FleetService::engine);
        // A service without engines has no weights and no cache, even if the caller sends prompt headers.
        Optional<Prompt> prompt = caller.prompt().filter(ignored -> engine.isPresent());
        List<Candidate> candidates =
                context.state().candidates(snapshot, service, prompt.map(Prompt::model), tried, nowMillis);
        Optional<Selected> selected;
        boolean isNew = isFirst && !isNext && tried.isEmpty();
        if (prompt.isPresent()) {
            if (isNew && hasManyRouters()) {
                EngineAdmission shares = context.engineAdmission(service);
                shares.offer(demandKey(), shares.workMillis(prompt.get(), engine.get()), caller.id(), nowMillis);
            }
            EngineCandidates engines = engines(snapshot, candidates, prompt.get(), engine.get());
            if (isFirst && (engines.isFull() || (!isNext && mustQueue(prompt.get(), engine.get())))) {
                return Optional.empty();
            }
            selected =
                    selectEngine(snapshot, isFirst ? engines : engines.withoutRoomLimit(), prompt.get(), engine.get());
        } else {
            List<Candidate> admitted = candidates;
            if (engine.isEmpty() && tried.isEmpty() && !candidates.isEmpty() && hasManyRouters()) {
                Decision decision = decide(candidates, nowMillis, leftMillis);
                if (decision.action() == Action.WAIT) {
                    return Optional.empty();
                }
                admitted = decision.upstream().map(List::of).orElse(candidates);
            }
            selected = context.chooser()
                    .chooseForCall(admitted, context.callTimes(service).millis())
                    .map(choice -> new Selected(choice, Optional.empty()));
        }
        if (selected.isEmpty()) {
            throw new AgatelaneException(FailureType.NO_UPSTREAM, "no upstream of " + service + " accepts work")
                    .withRetryAfterMillis(retryAfterMillis(snapshot, nowMillis));
        }
        UpstreamChoice choice = selected.get().choice();
        if (isFirst && prompt.isPresent()) {
            checkQueue(choice, nowMillis);
        }
        checkTime(choice, leftMillis);
        if (prompt.isPresent() && tried.isEmpty() && hasManyRouters()) {
            EngineAdmission shares = context.engineAdmission(service);
            shares.recordAdmitted(demandKey(), shares.workMillis(prompt.get(), engine.get()), nowMillis);
        }
        return selected;
    }

    /**
     * Returns when a caller may come back that an upstream has refused. Where each upstream wants no requests for some
     * time, coming back earlier is of no use.
     */
    long retryAfterMillis(FleetSnapshot snapshot, long nowMillis) {
        return Math.max(BUSY_RETRY_MILLIS, context.state().pauseMillis(snapshot, service, nowMillis));
    }

    /** Sets the decision about a call that has waited for a slot. */
    void release(Decision decision) {
        released = Optional.of(decision);
    }

    private Decision decide(List<Candidate> candidates, long nowMillis, long leftMillis) {
        ServiceAdmission admission = context.admission(service);
        Decision decision = released.orElseGet(() -> admission.offer(
                call(nowMillis, leftMillis),
                account.map(FleetAccount::name).map(Rendezvous::hash).orElse(0L),
                caller.id(),
                candidates,
                nowMillis));
        if (decision.action() == Action.REFUSE) {
            throw admission.refusal(caller.id(), decision, nowMillis);
        }
        return decision;
    }

    // A few routers know each other's requests in time, and upstreams have room for what is in flight between them.
    private boolean hasManyRouters() {
        return context.state().routerCount() > CandidateSampler.MAX_ROUTERS_WITHOUT_SAMPLING;
    }

    private int urgency() {
        PriorityLevels levels = context.state()
                .snapshot()
                .config()
                .map(FleetConfig::priorityLevels)
                .orElse(PriorityLevels.NONE);
        return levels.level(account.map(FleetAccount::priority).orElse(OptionalInt.empty()), route.priority());
    }

    private ServiceDemand.Key demandKey() {
        return context.engineAdmission(service).key(account, urgency());
    }

    private Call<ServiceAdmission.Waiter> call(long nowMillis, long leftMillis) {
        long objectiveMillis = route.latencyObjectiveMillis() > 0 ? route.latencyObjectiveMillis() : leftMillis;
        return new Call<>(waiter, urgency(), nowMillis + objectiveMillis, nowMillis + leftMillis, false);
    }

    private EngineCandidates engines(
            FleetSnapshot snapshot, List<Candidate> candidates, Prompt prompt, EngineProfile engine) {
        return EngineCandidates.of(
                candidates,
                snapshot.requestedWeights(prompt.model()),
                context.timers().now(),
                context.settings().weightsMillis(),
                prompt,
                engine);
    }

    // A long prompt does not overtake those that wait for room.
    private boolean mustQueue(Prompt prompt, EngineProfile engine) {
        return !EngineRoom.isShort(prompt, engine) && context.waiting(service).hasAhead(priority);
    }

    private void checkQueue(UpstreamChoice choice, long nowMillis) {
        OptionalLong busyMillis = QueueLimit.retryAfterMillis(choice, route.latencyObjectiveMillis());
        if (busyMillis.isPresent()) {
            context.engineAdmission(service).recordNoRoom(nowMillis);
            throw new AgatelaneException(
                            FailureType.OVERLOADED,
                            "every engine has a queue of " + Math.round(choice.queueMillis()) + " ms or more")
                    .withRetryAfterMillis(busyMillis.getAsLong());
        }
    }

    private static void checkTime(UpstreamChoice choice, long leftMillis) {
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
            FleetSnapshot snapshot, EngineCandidates engines, Prompt prompt, EngineProfile engine) {
        long newest = snapshot.requestedWeights(prompt.model())
                .map(RequestedWeights::newest)
                .orElse(0L);
        List<Candidate> withRoom = engines.withRoom();
        PrefixLocator prefixLocator = new PrefixLocator(
                context.state().placements(),
                prompt,
                engine,
                context.state().cacheStore(),
                account.filter(FleetAccount::isolated).map(FleetAccount::name),
                engines.allowed());
        PromptRequest promptRequest = new PromptRequest(
                prompt,
                engine,
                priority,
                newest,
                route.latencyObjectiveMillis(),
                context.prefillSpeed(service).tokensPerMilli(),
                context.interference(service).share());
        List<Candidate> sampled = sample(snapshot, withRoom, prompt, engine, prefixLocator, newest);
        Optional<UpstreamChoice> choice = context.chooser().chooseForPrompt(sampled, promptRequest, prefixLocator);
        boolean isBusy = choice.isEmpty()
                || QueueLimit.retryAfterMillis(choice.get(), route.latencyObjectiveMillis())
                        .isPresent();
        // A request is refused only when no engine at all could take it.
        boolean compareAll = isBusy && sampled.size() < withRoom.size();
        return (compareAll ? context.chooser().chooseForPrompt(withRoom, promptRequest, prefixLocator) : choice)
                .map(found -> new Selected(found, Optional.of(prefixLocator)));
    }

    private List<Candidate> sample(
            FleetSnapshot snapshot,
            List<Candidate> allowed,
            Prompt prompt,
            EngineProfile engine,
            PrefixLocator prefixLocator,
            long newest) {
        if (!hasManyRouters()) {
            return allowed;
        }
        CandidateSampler sampler = new CandidateSampler(
                context.settings().zone(),
                newest,
                context.settings().vmName(),
                context.shortPromptEngines(snapshot, service));
        if (prefixLocator.hasLongPrefix()) {
            return sampler.sampleForPrefix(
                    allowed,
                    prompt.sharedPrefixId(),
                    candidate -> prefixLocator.holds(candidate) || prefixLocator.isPrefilling(candidate));
        }
        return EngineRoom.isShort(prompt, engine)
                ? sampler.sampleForRequest(allowed, caller.id())
                : sampler.sampleForLongPrompt(allowed, caller.id());
    }
}
