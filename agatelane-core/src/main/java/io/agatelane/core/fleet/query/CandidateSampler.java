package io.agatelane.core.fleet.query;

import io.agatelane.core.hash.Rendezvous;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Selects a few candidate upstreams per request in a deployment with many routers.
 *
 * <p>Many routers decide on the same load data, which is up to a second old. If each of them picked the least loaded of
 * all upstreams, all would pick the same one. Each router therefore compares a few upstreams that its name selects and a
 * random one. So an upstream gets most of its requests from a few routers, each of which knows its own requests exactly
 * and at once, while the reports of the others are older than most prefills last. No upstream receives more than a small
 * share of the requests that arrive until the loads are announced again. For requests with a long prefix the sample
 * depends only on the prefix, so that few engines cache the prefix and later requests are sent to them.
 */
public final class CandidateSampler {
    /**
     * Maximum number of routers for which every request is compared over all upstreams: with so few routers the load
     * data is recent and few decisions are made at the same time.
     */
    public static final int MAX_ROUTERS_WITHOUT_SAMPLING = 13;

    // Upstreams that the router's name selects: in its zone and in all zones. Of more, each would get too few requests
    // of one router for its own counts to matter.
    private static final int SAME_ZONE_CANDIDATES = 2;
    private static final int ALL_ZONES_CANDIDATES = 3;
    // Random upstreams: one with the newest weights, so that a free upstream of other routers is found, and one with
    // older weights.
    private static final int RANDOM_CANDIDATES = 1;
    private static final int OLDER_CANDIDATES = 1;
    // Few engines cache a prefix, but enough that one can take over the requests that are queued at another.
    private static final int PREFIX_CANDIDATES = 5;
    private static final int OLDER_PREFIX_CANDIDATES = 2;
    // Upstreams that fail, or that have not responded for longer than a response takes at peak load, are sampled last.
    private static final double SUSPICIOUS_FAILURES = 0.5;
    private static final long SUSPICIOUS_UNANSWERED_MILLIS = 2_000;

    private final String zone;
    private final long newestVersion;
    private final String router;
    private final Set<String> shortPromptEngines;

    /**
     * Creates a sampler.
     *
     * @param zone availability zone of this router
     * @param newestVersion newest requested version of the weights; 0 for requests without a prompt
     * @param router name of this router
     */
    public CandidateSampler(String zone, long newestVersion, String router) {
        this(zone, newestVersion, router, Set.of());
    }

    /**
     * Creates a sampler that keeps long prompts away from some engines.
     *
     * @param shortPromptEngines ids of the engines that are sampled for short prompts first and for long ones last
     */
    public CandidateSampler(String zone, long newestVersion, String router, Set<String> shortPromptEngines) {
        this.zone = zone;
        this.newestVersion = newestVersion;
        this.router = router;
        this.shortPromptEngines = Set.copyOf(shortPromptEngines);
    }

    /** Returns the candidates of a short prompt or of a call; the same id selects the same ones. */
    public List<Candidate> sampleForRequest(List<Candidate> all, String requestId) {
        return sample(where(newest(all).toList(), this::isForShortPrompts), all, requestId);
    }

    /** Returns the candidates of a long prompt without a long prefix; the same id selects the same ones. */
    public List<Candidate> sampleForLongPrompt(List<Candidate> all, String requestId) {
        List<Candidate> forLongPrompts = where(all, candidate -> !isForShortPrompts(candidate));
        return sample(newest(forLongPrompts).toList(), forLongPrompts, requestId);
    }

    private boolean isForShortPrompts(Candidate candidate) {
        return shortPromptEngines.contains(candidate.upstream().id());
    }

    // Without a matching upstream the others are better than none.
    private static List<Candidate> where(List<Candidate> all, Predicate<Candidate> condition) {
        List<Candidate> matching = all.stream().filter(condition).toList();
        return matching.isEmpty() ? all : matching;
    }

    private List<Candidate> sample(List<Candidate> preferredNewest, List<Candidate> all, String requestId) {
        List<Candidate> ofRouter = ranked(preferredNewest, router);
        List<Candidate> ranked = ranked(all, requestId);
        Set<Candidate> sampled = new LinkedHashSet<>();
        ofRouter.stream()
                .filter(candidate -> candidate.upstream().zone().equals(zone))
                .limit(SAME_ZONE_CANDIDATES)
                .forEach(sampled::add);
        ofRouter.stream().limit(ALL_ZONES_CANDIDATES).forEach(sampled::add);
        newest(ranked).limit(RANDOM_CANDIDATES).forEach(sampled::add);
        older(ranked).limit(OLDER_CANDIDATES).forEach(sampled::add);
        return List.copyOf(sampled);
    }

    /**
     * Returns the candidates of a request with a long prefix; the same prefix selects the same engines on all routers.
     *
     * @param hasPrefix whether an engine has the prefix or is prefilling it; such engines are always candidates
     */
    public List<Candidate> sampleForPrefix(List<Candidate> all, String prefixId, Predicate<Candidate> hasPrefix) {
        List<Candidate> ranked = ranked(all, prefixId);
        Set<Candidate> sampled = new LinkedHashSet<>();
        ranked.stream().filter(hasPrefix).forEach(sampled::add);
        where(newest(ranked).toList(), candidate -> !isForShortPrompts(candidate)).stream()
                .limit(PREFIX_CANDIDATES)
                .forEach(sampled::add);
        older(ranked).limit(OLDER_PREFIX_CANDIDATES).forEach(sampled::add);
        return List.copyOf(sampled);
    }

    private static List<Candidate> ranked(List<Candidate> all, String seed) {
        long hash = Rendezvous.hash(seed);
        // Hashing in the comparator would hash each id several times for each request.
        List<Ranked> ranked = new ArrayList<>(all.size());
        for (Candidate candidate : all) {
            long weight =
                    Rendezvous.weight(hash, Rendezvous.hash(candidate.upstream().id()));
            ranked.add(new Ranked(candidate, isSuspicious(candidate), weight));
        }
        ranked.sort(Comparator.comparing(Ranked::suspicious).thenComparingLong(Ranked::weight));
        return ranked.stream().map(Ranked::candidate).toList();
    }

    private record Ranked(Candidate candidate, boolean suspicious, long weight) {}

    private static boolean isSuspicious(Candidate candidate) {
        return candidate.estimate().failures() > SUSPICIOUS_FAILURES
                || candidate.estimate().oldestUnansweredMillis() > SUSPICIOUS_UNANSWERED_MILLIS;
    }

    private Stream<Candidate> newest(List<Candidate> ranked) {
        return ranked.stream().filter(candidate -> candidate.weightsVersion() >= newestVersion);
    }

    private Stream<Candidate> older(List<Candidate> ranked) {
        return ranked.stream().filter(candidate -> candidate.weightsVersion() < newestVersion);
    }
}
