package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.Interference;
import io.agatelane.core.fleet.PrefillBacklog;
import io.agatelane.core.fleet.Prompt;
import io.agatelane.core.fleet.UpstreamEstimate;
import io.agatelane.core.hash.Rendezvous;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Chooses the upstream with the shortest expected time to the first byte.
 *
 * <p>Prompts with a long shared prefix are sent to an engine that has the prefix as long as that engine is not busy;
 * during bursts they are sent to another engine, which copies the prefix.
 */
public final class UpstreamChooser {
    // Share of the latency objective that a request rather waits than runs on replaced weights. Replaced weights cost a
    // fifth of the response's value; a late response costs more.
    private static final double OLD_WEIGHTS_SHARE = 0.4;
    // An unresponsive upstream is avoided once its oldest request has waited longer than a first token normally takes.
    private static final double NORMAL_FIRST_TOKEN_MILLIS = 150;
    // Expected delay per recent failure: when half of the requests to an upstream fail, half of them have to be sent
    // again, after about this time.
    private static final double DELAY_PER_FAILURE_MILLIS = 200;
    // Makes routers that receive the same new prefix at the same time choose the same engine, so that the prefix is not
    // prefilled twice.
    private static final double NOT_PREFERRED_MILLIS = 60;
    // Share of the objective that a request rather waits for an engine which has or is prefilling its prefix: a late
    // response has lost most of its value, and prefilling a prefix twice costs as much as the whole response is worth.
    private static final double REPEATED_PREFILL_SHARE = 0.6;
    // Cost of an upstream whose slots are all in use compared with an idle one, in addition to queueing.
    private static final double FULL_UTILISATION_MILLIS = 20;
    // Cost of delaying one running stream by one millisecond: the caller already has its first tokens, but the stream
    // holds its slot and its memory for longer.
    private static final double DELAYED_STREAM_WEIGHT = 0.015;
    private static final double PERCENT = 100;

    private final ChoiceSettings settings;

    public UpstreamChooser(ChoiceSettings settings) {
        this.settings = settings;
    }

    /** Chooses an upstream of a service whose requests have no prompt. */
    public Optional<UpstreamChoice> chooseForCall(List<Candidate> candidates, double serviceMillis) {
        return best(candidates, candidate -> callMillis(candidate, serviceMillis))
                .map(candidate -> new UpstreamChoice(
                        candidate,
                        callMillis(candidate, serviceMillis),
                        callQueueMillis(candidate, serviceMillis),
                        0,
                        callWaitMillis(candidate, serviceMillis) + serviceMillis,
                        Interference.NONE,
                        Optional.empty()));
    }

    /** Chooses an engine for a prompt. */
    public Optional<UpstreamChoice> chooseForPrompt(
            List<Candidate> candidates, PromptRequest request, PrefixLocator locator) {
        // A short prefix may be prefilled on any engine; all requests that share it would overload a preferred one.
        Optional<Candidate> preferred = locator.hasLongPrefix()
                ? preferred(candidates, request.prompt(), request.newestVersion())
                : Optional.empty();
        return best(
                        candidates,
                        candidate -> promptMillis(candidate, preferred, request, locator)
                                + delayOfStreams(candidate, request))
                .map(candidate -> new UpstreamChoice(
                        candidate,
                        promptMillis(candidate, preferred, request, locator),
                        queueMillis(candidate, request),
                        prefillMillis(candidate, request, locator),
                        normalMillis(candidate, request, locator),
                        interference(candidate, request),
                        locator.addressToQuery(candidate)));
    }

    /**
     * Returns the engine on which all routers prefill a new prefix, by rendezvous hashing; one with the newest weights
     * if there is any.
     */
    private static Optional<Candidate> preferred(List<Candidate> candidates, Prompt prompt, long newestVersion) {
        String prefix = prompt.sharedPrefixId();
        if (prefix.isEmpty()) {
            return Optional.empty();
        }
        List<Candidate> newest = candidates.stream()
                .filter(candidate -> candidate.weightsVersion() >= newestVersion)
                .toList();
        List<Candidate> pool = newest.isEmpty() ? candidates : newest;
        int index = Rendezvous.indexOfHighest(
                Rendezvous.hash(prefix),
                pool,
                candidate -> Rendezvous.hash(candidate.upstream().id()));
        return index < 0 ? Optional.empty() : Optional.of(pool.get(index));
    }

    private double promptMillis(
            Candidate candidate, Optional<Candidate> preferred, PromptRequest request, PrefixLocator locator) {
        UpstreamEstimate load = candidate.estimate();
        double millis =
                normalMillis(candidate, request, locator) * load.durationPercent() / PERCENT + penaltyMillis(candidate);
        millis += repeatedPrefillMillis(candidate, preferred, request, locator);
        return candidate.weightsVersion() < request.newestVersion()
                ? millis + request.objectiveMillis() * OLD_WEIGHTS_SHARE
                : millis;
    }

    // Time to the first token at an engine of normal speed.
    private static double normalMillis(Candidate candidate, PromptRequest request, PrefixLocator locator) {
        return normalQueueMillis(candidate, request)
                + interference(candidate, request).delayMillis()
                + prefillMillis(candidate, request, locator);
    }

    // An engine that is in the middle of a less urgent prompt goes on with it in the same steps.
    private static Interference interference(Candidate candidate, PromptRequest request) {
        PrefillBacklog backlog = candidate.estimate().backlog();
        double workMillis = backlog.totalMillis() - backlog.millisAhead(request.priority());
        return new Interference(workMillis, workMillis * request.interferenceShare());
    }

    // Each step that prefills a part of the prompt delays the next token of all streams that run at the engine. Shared
    // parts are left out, because where they are prefilled is decided by who has or prepares them.
    private static double delayOfStreams(Candidate candidate, PromptRequest request) {
        UpstreamEstimate load = candidate.estimate();
        double streams = Math.min(load.requests(), Math.max(1, request.profile().slots()));
        return unsharedMillis(request) * load.durationPercent() / PERCENT * streams * DELAYED_STREAM_WEIGHT;
    }

    // Prefilling a long prefix that is available elsewhere occupies the engine for as long as a late response is late,
    // without any benefit.
    private static double repeatedPrefillMillis(
            Candidate candidate, Optional<Candidate> preferred, PromptRequest request, PrefixLocator locator) {
        if (preferred.isEmpty()
                || locator.holds(candidate)
                || locator.isPrefilling(candidate)
                || locator.fastestSource(candidate).isPresent()) {
            return 0;
        }
        if (locator.isAvailableAnywhere(candidate)) {
            return request.objectiveMillis() * REPEATED_PREFILL_SHARE;
        }
        return preferred.get() == candidate ? 0 : NOT_PREFERRED_MILLIS;
    }

    private static double queueMillis(Candidate candidate, PromptRequest request) {
        return normalQueueMillis(candidate, request) * candidate.estimate().durationPercent() / PERCENT;
    }

    // Time in the queue of an engine of normal speed.
    private static double normalQueueMillis(Candidate candidate, PromptRequest request) {
        UpstreamEstimate load = candidate.estimate();
        int slots = Math.max(1, request.profile().slots());
        double slotWait = load.slotWaitMillis(slots);
        double utilisation = load.requests() / slots * FULL_UTILISATION_MILLIS;
        double prefill = load.backlog().millisAhead(request.priority());
        return prefill + slotWait + utilisation;
    }

    private static double prefillMillis(Candidate candidate, PromptRequest request, PrefixLocator locator) {
        int shared = request.prompt().sharedTokens();
        double unshared = unsharedMillis(request);
        // When an engine is already prefilling the prefix, its backlog contains that work.
        if (locator.holds(candidate) || locator.isPrefilling(candidate)) {
            return unshared;
        }
        double repeated = shared / request.prefillTokensPerMilli();
        return unshared
                + locator.fastestSource(candidate)
                        .map(source -> Math.min(repeated, source.millis()))
                        .orElse(repeated);
    }

    private static double unsharedMillis(PromptRequest request) {
        Prompt prompt = request.prompt();
        return Math.max(0, prompt.inputTokens() - prompt.sharedTokens()) / request.prefillTokensPerMilli();
    }

    private double callMillis(Candidate candidate, double serviceMillis) {
        UpstreamEstimate load = candidate.estimate();
        double run = serviceMillis * load.durationPercent() / PERCENT;
        return callQueueMillis(candidate, serviceMillis) + run + penaltyMillis(candidate);
    }

    private static double callQueueMillis(Candidate candidate, double serviceMillis) {
        UpstreamEstimate load = candidate.estimate();
        int slots = Math.max(1, candidate.upstream().slots());
        // Among upstreams with free slots the less loaded one is preferred: some slow down when they are nearly full.
        double utilisation = load.requests() / slots * FULL_UTILISATION_MILLIS;
        return callWaitMillis(candidate, serviceMillis) * load.durationPercent() / PERCENT + utilisation;
    }

    // Time for a slot of an upstream of normal speed.
    private static double callWaitMillis(Candidate candidate, double serviceMillis) {
        int slots = Math.max(1, candidate.upstream().slots());
        return Math.max(0, candidate.estimate().requests() + 1 - slots) / slots * serviceMillis;
    }

    private double penaltyMillis(Candidate candidate) {
        UpstreamEstimate load = candidate.estimate();
        double unresponsive = Math.max(0, load.oldestUnansweredMillis() - NORMAL_FIRST_TOKEN_MILLIS);
        double network = candidate.upstream().zone().equals(settings.zone()) ? 0 : settings.crossZoneMillis();
        return unresponsive + load.failures() * DELAY_PER_FAILURE_MILLIS + network;
    }

    private static Optional<Candidate> best(List<Candidate> candidates, ToDoubleFunction<Candidate> cost) {
        return candidates.stream().min(Comparator.comparingDouble(cost));
    }
}
