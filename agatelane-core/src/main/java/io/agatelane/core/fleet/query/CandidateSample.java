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
 * The few upstreams among which a router of a large fleet chooses.
 *
 * <p>Load: many routers that see the same loads, up to half a second old. If each picks the emptiest of all upstreams,
 * they all pick the same one. With two or three drawn for each request, no upstream gets more than a small part of what
 * arrives until the loads are told again, and the emptier one of a draw still wins. Requests with a long prefix draw by
 * the prefix, so that it is held by few engines and found there.
 */
public final class CandidateSample {
    /** Routers up to which each request is compared over all upstreams: their loads are fresh and few choose at once. */
    public static final int SMALL_FLEET = 13;

    // Drawn in the router's zone and over all zones, and among upstreams with older weights.
    private static final int NEAR = 2;
    private static final int ANYWHERE = 3;
    private static final int OLDER = 1;
    // A prefix is held by few engines, which need room for one another's queues.
    private static final int PREFIX_HOMES = 5;
    private static final int PREFIX_OLDER = 2;
    // Upstreams that fail, or have been silent for longer than an answer on a crest takes, are drawn last.
    private static final double SUSPICIOUS_FAILURES = 0.5;
    private static final long SUSPICIOUS_SILENCE_MILLIS = 2_000;

    private final String zone;
    private final long newestVersion;

    /**
     * Creates a rule for drawing.
     *
     * @param zone of the router
     * @param newestVersion of the weights; 0 for requests without a prompt
     */
    public CandidateSample(String zone, long newestVersion) {
        this.zone = zone;
        this.newestVersion = newestVersion;
    }

    /** Draws for a request that may run anywhere; the same id draws the same upstreams. */
    public List<Candidate> forRequest(List<Candidate> all, String requestId) {
        List<Candidate> ranked = ranked(all, requestId);
        Set<Candidate> drawn = new LinkedHashSet<>();
        newest(ranked)
                .filter(candidate -> candidate.upstream().zone().equals(zone))
                .limit(NEAR)
                .forEach(drawn::add);
        newest(ranked).limit(ANYWHERE).forEach(drawn::add);
        older(ranked).limit(OLDER).forEach(drawn::add);
        return List.copyOf(drawn);
    }

    /**
     * Draws for a request with a long prefix; the same prefix draws the same engines at all routers.
     *
     * @param known whether an engine has or reads the prefix; it is always among the drawn
     */
    public List<Candidate> forPrefix(List<Candidate> all, String prefixId, Predicate<Candidate> known) {
        List<Candidate> ranked = ranked(all, prefixId);
        Set<Candidate> drawn = new LinkedHashSet<>();
        ranked.stream().filter(known).forEach(drawn::add);
        newest(ranked).limit(PREFIX_HOMES).forEach(drawn::add);
        older(ranked).limit(PREFIX_OLDER).forEach(drawn::add);
        return List.copyOf(drawn);
    }

    private static List<Candidate> ranked(List<Candidate> all, String seed) {
        long hash = Rendezvous.hash(seed);
        List<Candidate> ranked = new ArrayList<>(all);
        ranked.sort(Comparator.comparing(CandidateSample::isSuspicious)
                .thenComparingLong(candidate -> Rendezvous.weight(
                        hash, Rendezvous.hash(candidate.upstream().id()))));
        return ranked;
    }

    private static boolean isSuspicious(Candidate candidate) {
        return candidate.estimate().failures() > SUSPICIOUS_FAILURES
                || candidate.estimate().oldestUnansweredMillis() > SUSPICIOUS_SILENCE_MILLIS;
    }

    private Stream<Candidate> newest(List<Candidate> ranked) {
        return ranked.stream().filter(candidate -> candidate.weightsVersion() >= newestVersion);
    }

    private Stream<Candidate> older(List<Candidate> ranked) {
        return ranked.stream().filter(candidate -> candidate.weightsVersion() < newestVersion);
    }
}
