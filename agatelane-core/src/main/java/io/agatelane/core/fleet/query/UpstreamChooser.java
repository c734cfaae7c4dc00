package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.EngineProfile;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.Prompt;
import io.agatelane.core.fleet.command.UpstreamEstimate;
import io.agatelane.core.hash.Rendezvous;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Picks the upstream with the shortest expected time to the first byte.
 *
 * <p>Answers two loads: prompts with long shared prefixes, which go to the home of the prefix while it is not busy, and
 * bursts, in which they leave it for an engine that fetches the prefix from there.
 */
public final class UpstreamChooser {
    // Below this size reading a prefix again is faster than any transfer between engines.
    private static final int MIN_TRANSFER_TOKENS = 100;
    // Fixed part of a transfer: a round trip between engines and the look-up at the source.
    private static final double TRANSFER_SETUP_MILLIS = 2;
    // Price of an answer on replaced weights: a fifth of it is lost, so a wait of a fifth of a second is worth while.
    private static final double OLD_WEIGHTS_MILLIS = 200;
    // A silent upstream is avoided once its oldest request has waited longer than an ordinary first token takes.
    private static final double ORDINARY_WAIT_MILLIS = 150;
    // Half of the requests of an upstream that fails in half of them have to be sent again, after about this time.
    private static final double FAILURE_MILLIS = 200;
    // Work that another router's request still has before it, on average: half of a short prompt.
    private static final double OTHER_REQUEST_MILLIS = 4;
    private static final double PERCENT = 100;
    private static final double CROSS_ZONE_TRANSFER_FACTOR = 2;

    private final ChoiceSettings settings;

    public UpstreamChooser(ChoiceSettings settings) {
        this.settings = settings;
    }

    /** Picks an upstream of a service whose requests carry no prompt. */
    public Optional<Choice> chooseForCall(List<Candidate> candidates, double serviceMillis) {
        return best(candidates, candidate -> callMillis(candidate, serviceMillis))
                .map(candidate -> new Choice(candidate, callMillis(candidate, serviceMillis), 0, Optional.empty()));
    }

    /**
     * Picks an engine.
     *
     * @param newestVersion newest weights that the operator named; 0 when unknown
     */
    public Optional<Choice> chooseForPrompt(
            List<Candidate> candidates, Prompt prompt, EngineProfile profile, long newestVersion) {
        Optional<Candidate> home = home(candidates, prompt, newestVersion);
        return best(candidates, candidate -> promptMillis(candidate, home, prompt, profile, newestVersion))
                .map(candidate -> new Choice(
                        candidate,
                        promptMillis(candidate, home, prompt, profile, newestVersion),
                        prefillMillis(candidate, home, prompt, profile),
                        cacheSource(candidate, home, prompt)));
    }

    /** The engine that all routers prefer for a prefix, among those with the newest weights where there are any. */
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
            Candidate candidate, Optional<Candidate> home, Prompt prompt, EngineProfile profile, long newestVersion) {
        UpstreamEstimate load = candidate.estimate();
        double others = Math.max(0, load.requests() - load.ownRequests()) * OTHER_REQUEST_MILLIS;
        double backlog = load.pendingPrefillMillis() + others;
        double slotWait = Math.max(0, load.requests() + 1 - profile.slots()) * backlogPerSlot(profile);
        double millis = backlog + slotWait + prefillMillis(candidate, home, prompt, profile);
        millis = millis * load.speedPercent() / PERCENT + suspicionMillis(candidate);
        return candidate.weightsVersion() < newestVersion ? millis + OLD_WEIGHTS_MILLIS : millis;
    }

    // An engine frees its slots one by one; a run of some tens of tokens takes about as many times its step time.
    private static double backlogPerSlot(EngineProfile profile) {
        double meanRunMillis = 120;
        return meanRunMillis / Math.max(1, profile.slots());
    }

    private double prefillMillis(Candidate candidate, Optional<Candidate> home, Prompt prompt, EngineProfile profile) {
        int shared = prompt.sharedTokens();
        double own = Math.max(0, prompt.inputTokens() - shared) / settings.prefillTokensPerMilli();
        return own + sharedMillis(candidate, home, shared, profile);
    }

    private double sharedMillis(Candidate candidate, Optional<Candidate> home, int shared, EngineProfile profile) {
        if (home.isEmpty() || isSame(home.get(), candidate)) {
            return 0;
        }
        double read = shared / settings.prefillTokensPerMilli();
        if (shared < MIN_TRANSFER_TOKENS) {
            return read;
        }
        boolean sameZone =
                home.get().upstream().zone().equals(candidate.upstream().zone());
        double transfer = profile.transferMillis(shared) * (sameZone ? 1 : CROSS_ZONE_TRANSFER_FACTOR);
        return Math.min(read, TRANSFER_SETUP_MILLIS + transfer);
    }

    private static Optional<String> cacheSource(Candidate candidate, Optional<Candidate> home, Prompt prompt) {
        if (prompt.sharedTokens() < MIN_TRANSFER_TOKENS) {
            return Optional.empty();
        }
        return home.filter(other -> !isSame(other, candidate))
                .map(Candidate::upstream)
                .map(FleetUpstream::address);
    }

    private double callMillis(Candidate candidate, double serviceMillis) {
        UpstreamEstimate load = candidate.estimate();
        int slots = Math.max(1, candidate.upstream().slots());
        double waiting = Math.max(0, load.requests() + 1 - slots) / slots * serviceMillis;
        // Among upstreams with a free slot the emptier one is better: some slow down when they are nearly full.
        double crowding = load.requests() / slots * CROWDING_MILLIS;
        return (waiting + serviceMillis) * load.speedPercent() / PERCENT + crowding + suspicionMillis(candidate);
    }

    // An upstream with all slots taken costs at most this much more than an empty one, before requests wait.
    private static final double CROWDING_MILLIS = 20;

    private double suspicionMillis(Candidate candidate) {
        UpstreamEstimate load = candidate.estimate();
        double silence = Math.max(0, load.oldestUnansweredMillis() - ORDINARY_WAIT_MILLIS);
        double network = candidate.upstream().zone().equals(settings.zone()) ? 0 : settings.crossZoneMillis();
        return silence + load.failures() * FAILURE_MILLIS + network;
    }

    private static boolean isSame(Candidate a, Candidate b) {
        return a.upstream().key().equals(b.upstream().key());
    }

    private static Optional<Candidate> best(List<Candidate> candidates, ToDoubleFunction<Candidate> cost) {
        return candidates.stream().min(Comparator.comparingDouble(cost));
    }
}
