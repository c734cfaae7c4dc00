package io.agatelane.core.routing.query;

import io.agatelane.core.hash.Rendezvous;
import io.agatelane.core.routing.Decision;
import io.agatelane.core.routing.HintTable;
import io.agatelane.core.routing.LoadReport;
import io.agatelane.core.routing.LoadView;
import io.agatelane.core.routing.ModelFleet;
import io.agatelane.core.routing.PrefixRates;
import io.agatelane.core.routing.RequestProfile;
import io.agatelane.core.routing.UpstreamState;
import java.util.Arrays;

/** Chooses the engine with the shortest expected time to first token. Used by one thread at a time. */
public final class EngineChooser {
    /** Number of preferred engines of a prefix with few requests. */
    public static final int MIN_PREFERRED = 2;

    /** Number of preferred engines of a prefix with the most requests. */
    public static final int MAX_PREFERRED = 8;

    private static final int RANDOM_CANDIDATES = 2;
    private static final int HINTED_CANDIDATES = 2;
    // Share of the first-token deadline from which more candidates are scored.
    private static final double MORE_CANDIDATES_DEADLINE_SHARE = 0.5;
    // Probability that a shared level is cached on its preferred engines although there is no hint. The last message is
    // new in almost every request, so its level has a low probability: its preferred engines must not win over those of
    // the shared levels.
    private static final double SHARED_LEVEL_PROBABILITY = 0.8;
    // Recorded prefixes after which the probability of an unknown prefix has fallen to one half.
    private static final double WARM_UP_PREFIXES = 200;
    // Above zero, so that routers without hints still choose the same engine for a new prefix.
    private static final double NEW_PREFIX_PROBABILITY = 0.1;
    private static final double WHOLE_PROMPT_PROBABILITY = 0.05;
    private static final double HINT_PROBABILITY = 0.95;
    // Under pressure, engines evict cached prefixes within seconds; the probability of a hint halves in this time.
    private static final double HINT_HALF_LIFE_MILLIS = 20_000;

    // A probation lasts until probes are fast again; more frequent probes would delay more requests.
    private static final long PROBE_INTERVAL_MILLIS = 500;

    // About one request within the last 8 s, which is about as long as engines keep an unused prefix.
    private static final double RECENT_PER_SECOND = 0.04;

    private final HintTable hints;
    private final PrefixRates rates;
    private final Decision decision = new Decision();
    private final PreferredUpstreamCache preferredCache = new PreferredUpstreamCache();
    private final PreferredUpstreamCache.Entry[] preferred =
            new PreferredUpstreamCache.Entry[RequestProfile.MAX_LEVELS];
    private final int[] preferredCount = new int[RequestProfile.MAX_LEVELS];
    // Bit set of the levels for which a candidate is a preferred engine.
    private final int[] preferredLevels = new int[Decision.MAX_CANDIDATES];
    private final LoadView load = new LoadView();
    private final boolean[] recentlySeen = new boolean[RequestProfile.MAX_LEVELS];

    public EngineChooser(HintTable hints, PrefixRates rates) {
        this.hints = hints;
        this.rates = rates;
    }

    /**
     * Scores the candidates of a request and chooses one.
     *
     * @return the decision; valid until the next call
     */
    public Decision choose(ModelFleet fleet, RequestProfile request, ChoiceConstraints constraints, long nowMillis) {
        decision.reset();
        if (fleet.size() == 0) {
            return decision;
        }
        findPreferred(fleet, request, constraints, nowMillis);
        addCandidates(fleet, request);
        score(fleet, request, constraints, 0, nowMillis);
        int best = decision.best();
        if (best < 0
                || decision.totalMillis(best)
                        > constraints.policy().firstTokenDeadlineMillis() * MORE_CANDIDATES_DEADLINE_SHARE) {
            int scored = decision.count();
            addMore(fleet, request.seed());
            score(fleet, request, constraints, scored, nowMillis);
        }
        if (decision.best() < 0) {
            chooseOnProbation();
        }
        return decision;
    }

    private void findPreferred(
            ModelFleet fleet, RequestProfile request, ChoiceConstraints constraints, long nowMillis) {
        UpstreamState typical = fleet.member(0);
        for (int level = 0; level < request.levelCount(); level++) {
            double perSecond = rates.perSecond(request.digest(level), nowMillis);
            recentlySeen[level] = perSecond > RECENT_PER_SECOND;
            int wanted = PreferredUpstreamCount.of(perSecond, constraints.routers(), typical, typical.report());
            preferred[level] = preferredCache.find(fleet, request.key(level));
            preferredCount[level] = Math.min(wanted, preferred[level].count());
        }
    }

    private void addCandidates(ModelFleet fleet, RequestProfile request) {
        Arrays.fill(preferredLevels, 0);
        // Leaves room for the random candidates and for those from hints.
        int limit = Decision.MAX_CANDIDATES - RANDOM_CANDIDATES - HINTED_CANDIDATES;
        for (int level = request.levelCount() - 1; level >= 0; level--) {
            for (int i = 0; i < preferredCount[level]; i++) {
                int index = decision.addCandidate(fleet.member(preferred[level].index(i)), limit);
                if (index >= 0) {
                    preferredLevels[index] |= 1 << level;
                }
            }
        }
        addHinted(fleet, request);
        addRandom(fleet, request.seed());
    }

    private void addHinted(ModelFleet fleet, RequestProfile request) {
        int limit = Decision.MAX_CANDIDATES - RANDOM_CANDIDATES;
        for (int level = request.levelCount() - 1; level >= 0 && decision.count() < limit; level--) {
            int member = fleet.indexOf(hints.lastEngineHash(request.digest(level)));
            if (member >= 0) {
                add(fleet, member);
            }
        }
    }

    private void addRandom(ModelFleet fleet, long seed) {
        boolean local = fleet.localCount() > 0;
        int size = local ? fleet.localCount() : fleet.size();
        for (int i = 0; i < RANDOM_CANDIDATES; i++) {
            int position = (int) Long.remainderUnsigned(Rendezvous.weight(seed, i + 1), size);
            add(fleet, local ? fleet.localMemberIndex(position) : position);
        }
    }

    private void add(ModelFleet fleet, int member) {
        var unused = decision.addCandidate(fleet.member(member), Decision.MAX_CANDIDATES);
    }

    // When the first candidates are busy, other engines of the fleet may be idle, although they do not have the prefix.
    private void addMore(ModelFleet fleet, long seed) {
        if (fleet.size() <= Decision.MAX_CANDIDATES) {
            for (int i = 0; i < fleet.size(); i++) {
                add(fleet, i);
            }
            return;
        }
        for (int i = 0; i < Decision.MAX_CANDIDATES; i++) {
            int position = (int) Long.remainderUnsigned(Rendezvous.weight(~seed, i + 1), fleet.size());
            add(fleet, position);
        }
    }

    private void score(
            ModelFleet fleet, RequestProfile request, ChoiceConstraints constraints, int first, long nowMillis) {
        int best = decision.best();
        for (int i = first; i < decision.count(); i++) {
            UpstreamState upstream = decision.upstream(i);
            upstream.readInto(load, nowMillis);
            LoadReport report = load.report();
            double cached = expectedCachedTokens(request, i, constraints.routers(), nowMillis);
            double prefill = LoadEstimate.prefillMillis(report, request.promptTokens() - cached);
            double service = prefill + request.maxTokens() * report.tokenMillis();
            decision.setScore(i, upstream.roundTripMillis(), LoadEstimate.queueMillis(load), prefill, cached);
            decision.setLong(i, service > constraints.policy().longRequestMillis());
            decision.setExclusion(i, exclusion(fleet, i, constraints, nowMillis));
            if (decision.exclusion(i) == Decision.Exclusion.NONE
                    && (best < 0 || decision.totalMillis(i) < decision.totalMillis(best))) {
                best = i;
            }
        }
        decision.setBest(best);
    }

    private Decision.Exclusion exclusion(ModelFleet fleet, int index, ChoiceConstraints constraints, long nowMillis) {
        UpstreamState upstream = decision.upstream(index);
        if (!fleet.isReady(upstream)) {
            return Decision.Exclusion.NOT_READY;
        }
        if (constraints.excluded().test(upstream)) {
            return Decision.Exclusion.TRIED;
        }
        boolean isLong = decision.isLong(index);
        if (isLong
                && load.longInFlight()
                        >= constraints.maxLongRequests(load.report().slots())) {
            return Decision.Exclusion.LONG_SHARE;
        }
        boolean probeDue = nowMillis - load.lastProbeMillis() >= PROBE_INTERVAL_MILLIS && !isLong;
        if (upstream.probation() && !probeDue) {
            return Decision.Exclusion.PROBATION;
        }
        return Decision.Exclusion.NONE;
    }

    // Used when no candidate is allowed: a slow engine is better than none.
    private void chooseOnProbation() {
        int best = -1;
        for (int i = 0; i < decision.count(); i++) {
            if (decision.exclusion(i) == Decision.Exclusion.PROBATION
                    && (best < 0 || decision.totalMillis(i) < decision.totalMillis(best))) {
                best = i;
            }
        }
        decision.setBest(best);
    }

    // Probability that a preferred engine has a level in its cache although there is no hint.
    private double preferredProbability(RequestProfile request, int level, int routers) {
        if (request.isWholePrompt(level)) {
            return WHOLE_PROMPT_PROBABILITY;
        }
        if (recentlySeen[level]) {
            // This router has sent the prefix to other engines, so only another router can have sent it to this one.
            return SHARED_LEVEL_PROBABILITY * (routers - 1.0) / routers;
        }
        // A prefix that this router has not seen is probably cached somewhere just after the router's start, and
        // probably new once the router has seen many prefixes. With a constant 0.8, prompts with a new last level were
        // sent away from the engines that had their shared levels cached.
        double probability = SHARED_LEVEL_PROBABILITY * WARM_UP_PREFIXES / (WARM_UP_PREFIXES + rates.recordedCount());
        return Math.max(NEW_PREFIX_PROBABILITY, probability);
    }

    private double expectedCachedTokens(RequestProfile request, int candidate, int routers, long nowMillis) {
        long engineKey = decision.upstream(candidate).engineKey();
        double expected = 0;
        for (int level = 0; level < request.levelCount(); level++) {
            long ageMillis = hints.ageMillis(engineKey, request.digest(level), nowMillis);
            double probability = 0;
            if (ageMillis >= 0) {
                // Hyperbolic decay, which is as good as exponential decay here and needs no exponential function.
                probability = HINT_PROBABILITY * HINT_HALF_LIFE_MILLIS / (HINT_HALF_LIFE_MILLIS + ageMillis);
            } else if ((preferredLevels[candidate] & (1 << level)) != 0) {
                probability = preferredProbability(request, level, routers);
            }
            // Levels are nested: when the deeper one has been evicted, the shallower one may still be cached.
            expected = probability * request.tokensAt(level) + (1 - probability) * expected;
        }
        return expected;
    }
}
