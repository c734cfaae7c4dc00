package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.Prompt;
import io.agatelane.core.fleet.UpstreamEstimate;
import io.agatelane.core.hash.Rendezvous;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Picks the upstream with the shortest expected time to the first byte.
 *
 * <p>Answers two loads: prompts with long shared prefixes, which go where the prefix is while that engine is not busy,
 * and bursts, in which they leave it for an engine that copies the prefix.
 */
public final class UpstreamChooser {
    // Part of the latency objective that a request rather waits than be answered on replaced weights, which costs a
    // fifth
    // of the answer's worth; a late answer costs more.
    private static final double OLD_WEIGHTS_SHARE = 0.4;
    // A silent upstream is avoided once its oldest request has waited longer than an ordinary first token takes.
    private static final double ORDINARY_WAIT_MILLIS = 150;
    // Half of the requests of an upstream that fails in half of them have to be sent again, after about this time.
    private static final double FAILURE_MILLIS = 200;
    // Routers that read the same prefix for the first time at once meet at one engine instead of reading it twice.
    private static final double NOT_HOME_MILLIS = 60;
    // Share of the objective that a request waits for the engine which has or reads its prefix: a late answer has lost
    // most of its worth, and a prefix read twice costs as much as the whole answer is worth.
    private static final double READ_AGAIN_SHARE = 0.6;
    // An upstream with all slots taken costs at most this much more than an empty one, before requests wait.
    private static final double CROWDING_MILLIS = 20;
    // Time in which a run of some tens of tokens leaves its slot.
    private static final double RUN_MILLIS = 120;
    private static final double PERCENT = 100;

    private final ChoiceSettings settings;

    public UpstreamChooser(ChoiceSettings settings) {
        this.settings = settings;
    }

    /** Picks an upstream of a service whose requests carry no prompt. */
    public Optional<Choice> chooseForCall(List<Candidate> candidates, double serviceMillis) {
        return best(candidates, candidate -> callMillis(candidate, serviceMillis))
                .map(candidate -> new Choice(
                        candidate,
                        callMillis(candidate, serviceMillis),
                        callQueueMillis(candidate, serviceMillis),
                        0,
                        Optional.empty()));
    }

    /** Picks an engine. */
    public Optional<Choice> chooseForPrompt(List<Candidate> candidates, PromptRequest request, PromptCache cache) {
        // Where a short prefix is read does not matter; sending all that share one to its home would crowd it.
        Optional<Candidate> home =
                cache.hasLongPrefix() ? home(candidates, request.prompt(), request.newestVersion()) : Optional.empty();
        return best(candidates, candidate -> promptMillis(candidate, home, request, cache))
                .map(candidate -> new Choice(
                        candidate,
                        promptMillis(candidate, home, request, cache),
                        queueMillis(candidate, request),
                        prefillMillis(candidate, request.prompt(), cache),
                        cache.source(candidate).map(PromptCache.Source::address)));
    }

    /** The engine at which all routers read a prefix first, among those with the newest weights if there are any. */
    private static Optional<Candidate> home(List<Candidate> candidates, Prompt prompt, long newestVersion) {
        String prefix = prompt.sharedPrefixId();
        if (prefix.isEmpty()) {
            return Optional.empty();
        }
        List<Candidate> newest = candidates.stream()
                .filter(candidate -> candidate.weightsVersion() >= newestVersion)
                .toList();
        List<Candidate> pool = newest.isEmpty() ? candidates : newest;
        int index = Rendezvous.first(
                Rendezvous.hash(prefix),
                pool,
                candidate -> Rendezvous.hash(candidate.upstream().id()));
        return index < 0 ? Optional.empty() : Optional.of(pool.get(index));
    }

    private double promptMillis(
            Candidate candidate, Optional<Candidate> home, PromptRequest request, PromptCache cache) {
        UpstreamEstimate load = candidate.estimate();
        double work = prefillMillis(candidate, request.prompt(), cache) * load.speedPercent() / PERCENT;
        double millis = queueMillis(candidate, request) + work + suspicionMillis(candidate);
        millis += readAgainMillis(candidate, home, request, cache);
        return candidate.weightsVersion() < request.newestVersion()
                ? millis + request.objectiveMillis() * OLD_WEIGHTS_SHARE
                : millis;
    }

    // Reading a long prefix again holds the engine for as long as a late answer is late, and helps nobody.
    private static double readAgainMillis(
            Candidate candidate, Optional<Candidate> home, PromptRequest request, PromptCache cache) {
        if (home.isEmpty()
                || cache.holds(candidate)
                || cache.isReading(candidate)
                || cache.source(candidate).isPresent()) {
            return 0;
        }
        if (cache.isKnownAnywhere(candidate)) {
            return request.objectiveMillis() * READ_AGAIN_SHARE;
        }
        return home.get() == candidate ? 0 : NOT_HOME_MILLIS;
    }

    private static double queueMillis(Candidate candidate, PromptRequest request) {
        UpstreamEstimate load = candidate.estimate();
        int slots = Math.max(1, request.profile().slots());
        double slotWait = Math.max(0, load.requests() + 1 - slots) * RUN_MILLIS / slots;
        double crowding = load.requests() / slots * CROWDING_MILLIS;
        double prefill = load.backlog().before(request.priority());
        return (prefill + slotWait + crowding) * load.speedPercent() / PERCENT;
    }

    private double prefillMillis(Candidate candidate, Prompt prompt, PromptCache cache) {
        int shared = prompt.sharedTokens();
        double own = Math.max(0, prompt.inputTokens() - shared) / settings.prefillTokensPerMilli();
        // An engine that is reading the prefix has that work in its backlog.
        if (cache.holds(candidate) || cache.isReading(candidate)) {
            return own;
        }
        double read = shared / settings.prefillTokensPerMilli();
        return own
                + cache.source(candidate)
                        .map(source -> Math.min(read, source.millis()))
                        .orElse(read);
    }

    private double callMillis(Candidate candidate, double serviceMillis) {
        UpstreamEstimate load = candidate.estimate();
        double run = serviceMillis * load.speedPercent() / PERCENT;
        return callQueueMillis(candidate, serviceMillis) + run + suspicionMillis(candidate);
    }

    private static double callQueueMillis(Candidate candidate, double serviceMillis) {
        UpstreamEstimate load = candidate.estimate();
        int slots = Math.max(1, candidate.upstream().slots());
        double waiting = Math.max(0, load.requests() + 1 - slots) / slots * serviceMillis;
        // Among upstreams with a free slot the emptier one is better: some slow down when they are nearly full.
        double crowding = load.requests() / slots * CROWDING_MILLIS;
        return waiting * load.speedPercent() / PERCENT + crowding;
    }

    private double suspicionMillis(Candidate candidate) {
        UpstreamEstimate load = candidate.estimate();
        double silence = Math.max(0, load.oldestUnansweredMillis() - ORDINARY_WAIT_MILLIS);
        double network = candidate.upstream().zone().equals(settings.zone()) ? 0 : settings.crossZoneMillis();
        return silence + load.failures() * FAILURE_MILLIS + network;
    }

    private static Optional<Candidate> best(List<Candidate> candidates, ToDoubleFunction<Candidate> cost) {
        return candidates.stream().min(Comparator.comparingDouble(cost));
    }
}
