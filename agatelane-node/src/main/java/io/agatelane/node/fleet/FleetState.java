package io.agatelane.node.fleet;

import io.agatelane.core.fleet.CacheStore;
import io.agatelane.core.fleet.ConfigProof;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.FleetView;
import io.agatelane.core.fleet.NamedWeights;
import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.PlacementIndex;
import io.agatelane.core.fleet.UpstreamEstimate;
import io.agatelane.core.fleet.command.CrashSuspects;
import io.agatelane.core.fleet.command.PeerLoads;
import io.agatelane.core.fleet.command.UpstreamLoad;
import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.hash.Rendezvous;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** What a router knows and has seen. Written by the control thread, read by the threads that serve requests. */
public final class FleetState {
    // Failures that have faded below this change no choice.
    private static final double NOTEWORTHY_FAILURES = 0.1;
    // A reservation is repeated by each hint and each read of the record; a holder that is gone reserves nothing for
    // long. Longer than the time between two reads.
    static final long RESERVED_MILLIS = 1_000;

    private final PeerLoads peers = new PeerLoads();
    private final PlacementIndex placements = new PlacementIndex();
    private final CrashSuspects suspects;
    private final Map<String, UpstreamLoad> loads = new ConcurrentHashMap<>();
    private final Map<String, Long> seenWeights = new ConcurrentHashMap<>();
    private final Map<String, NamedWeights> named = new ConcurrentHashMap<>();
    private final Set<String> replaced = ConcurrentHashMap.newKeySet();
    private final Map<Long, Long> reservedUntilMillis = new ConcurrentHashMap<>();
    private volatile Optional<CacheStore> cacheStore = Optional.empty();
    private volatile int routers = 1;
    private volatile RolloutHints rolloutHints = RolloutHints.NONE;
    private volatile FleetKnowledge knowledge =
            new FleetKnowledge(FleetView.EMPTY, Optional.empty(), Map.of(), Map.of());

    /**
     * Creates a state in which nothing is known.
     *
     * @param vmName name of this router
     */
    public FleetState(String vmName) {
        suspects = new CrashSuspects(Rendezvous.hash(vmName));
    }

    /** Requests that were running when upstreams broke off. */
    public CrashSuspects suspects() {
        return suspects;
    }

    public FleetKnowledge knowledge() {
        return knowledge;
    }

    /** Takes over what a read of the store has shown. */
    public void update(FleetView view, ConfigProof proof, Map<String, Long> loadedWeights) {
        boolean hasRead = knowledge.proof().isPresent();
        NamedWeights.Naming naming = new NamedWeights.Naming(proof.monotonicMillis(), hasRead);
        view.newestWeights()
                .forEach((model, version) -> named.merge(
                        model, NamedWeights.of(version, naming), (known, read) -> known.with(version, naming)));
        knowledge = new FleetKnowledge(view, Optional.of(proof), loadedWeights, named);
        Set<String> present = view.upstreams().stream().map(FleetUpstream::key).collect(Collectors.toSet());
        loads.keySet().retainAll(present);
        seenWeights.keySet().retainAll(present);
        replaced.retainAll(present);
        long untilMillis = proof.monotonicMillis() + RESERVED_MILLIS;
        view.upstreams().stream()
                .filter(upstream -> view.reserved().contains(upstream.id()))
                .forEach(upstream -> heardReserved(hash(upstream), untilMillis));
        reservedUntilMillis.values().removeIf(until -> until < proof.monotonicMillis());
    }

    /** Takes over that what was read is still current. */
    void prove(ConfigProof proof) {
        knowledge = knowledge.withProof(proof);
    }

    /** The store of kept KV cache; empty while it does not answer. */
    public Optional<CacheStore> cacheStore() {
        return cacheStore;
    }

    /** Takes over whether the store of kept KV cache answers. */
    void cacheStore(Optional<CacheStore> store) {
        cacheStore = store;
    }

    /** Upstreams that the holder of the roll-out has just reserved, and for how long to believe it. */
    public void heardReserved(long upstream, long untilMillis) {
        reservedUntilMillis.merge(upstream, untilMillis, Math::max);
    }

    /** Takes what the holder of the roll-out tells. */
    void heard(RolloutHints hints, long nowMillis) {
        hints.reserved().forEach(upstream -> heardReserved(upstream, nowMillis + RESERVED_MILLIS));
        hints.loaded().forEach(this::heardWeights);
    }

    /** Weights that the holder of the roll-out has just seen loaded. */
    public void heardWeights(long upstream, long version) {
        knowledge.view().upstreams().stream()
                .filter(known -> hash(known) == upstream)
                .forEach(known -> sawWeights(known, version));
    }

    /** What this router as holder of the roll-out tells the others. */
    public RolloutHints rolloutHints() {
        return rolloutHints;
    }

    /** Takes over what to tell the others. */
    void rolloutHints(RolloutHints hints) {
        rolloutHints = hints;
    }

    /** Routers that have entered themselves in the store, this one included. */
    public int routers() {
        return routers;
    }

    /** Takes over how many routers there are. */
    void routers(int known) {
        routers = known;
    }

    /** What the other routers have in flight. */
    public PeerLoads peers() {
        return peers;
    }

    /** Where shared prompt parts were sent. */
    public PlacementIndex placements() {
        return placements;
    }

    /** The load of an upstream over all routers. */
    public UpstreamEstimate estimate(FleetUpstream upstream, long nowMillis) {
        return load(upstream).estimate(peers.total(hash(upstream), nowMillis), nowMillis);
    }

    /** What this router tells the others. */
    public List<PeerLoad> digest(long nowMillis) {
        return knowledge.view().upstreams().stream()
                .map(upstream -> load(upstream).digest(hash(upstream), nowMillis))
                .filter(load -> load.inFlight() > 0 || load.failures() > NOTEWORTHY_FAILURES)
                .toList();
    }

    boolean isReserved(FleetUpstream upstream, long nowMillis) {
        return reservedUntilMillis.getOrDefault(hash(upstream), 0L) > nowMillis;
    }

    static long hash(FleetUpstream upstream) {
        return Rendezvous.hash(upstream.key());
    }

    /** The load of one start of an upstream. */
    public UpstreamLoad load(FleetUpstream upstream) {
        return loads.computeIfAbsent(upstream.key(), key -> new UpstreamLoad());
    }

    /** Records the version of weights that an answer was made with. */
    public void sawWeights(FleetUpstream upstream, long version) {
        seenWeights.merge(upstream.key(), version, Math::max);
    }

    /** Records that another upstream answers at this one's address. */
    public void sawReplacement(FleetUpstream upstream) {
        replaced.add(upstream.key());
    }

    /** Version of a model's weights that an upstream has, from its entry and from answers; 0 when it has none. */
    public long weightsVersion(FleetKnowledge known, FleetUpstream upstream, String model) {
        long stated = known.weightsVersion(upstream, model);
        return stated == 0 ? 0 : Math.max(stated, seenWeights.getOrDefault(upstream.key(), 0L));
    }

    /**
     * Upstreams that a request could go to.
     *
     * @param model empty for requests without a prompt
     * @param excluded keys of upstreams that the request has been sent to
     */
    public List<Candidate> candidates(
            FleetKnowledge known, String service, Optional<String> model, Set<String> excluded, long nowMillis) {
        List<Candidate> all = known.usable(service).stream()
                .filter(upstream -> !excluded.contains(upstream.key()) && !replaced.contains(upstream.key()))
                .map(upstream -> new Candidate(
                        upstream,
                        estimate(upstream, nowMillis),
                        model.map(name -> weightsVersion(known, upstream, name)).orElse(0L)))
                .filter(candidate -> model.isEmpty() || candidate.weightsVersion() > 0)
                .toList();
        List<Candidate> inService = all.stream()
                .filter(candidate -> !isReserved(candidate.upstream(), nowMillis))
                .toList();
        return inService.isEmpty() ? all : inService;
    }
}
