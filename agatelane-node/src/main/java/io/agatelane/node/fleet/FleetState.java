package io.agatelane.node.fleet;

import io.agatelane.core.fleet.CacheStore;
import io.agatelane.core.fleet.ClockReading;
import io.agatelane.core.fleet.CrashReport;
import io.agatelane.core.fleet.DurationEvidence;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.FleetView;
import io.agatelane.core.fleet.PartReport;
import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.PlacementIndex;
import io.agatelane.core.fleet.RequestedWeights;
import io.agatelane.core.fleet.ServiceDemand;
import io.agatelane.core.fleet.UpstreamEstimate;
import io.agatelane.core.fleet.command.AbandonedRequests;
import io.agatelane.core.fleet.command.CrashSuspects;
import io.agatelane.core.fleet.command.PartSuspects;
import io.agatelane.core.fleet.command.PeerEntries;
import io.agatelane.core.fleet.command.PeerLoads;
import io.agatelane.core.fleet.command.UpstreamLoad;
import io.agatelane.core.fleet.command.UpstreamNotices;
import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.hash.Rendezvous;
import io.agatelane.core.limits.AccountDemand;
import io.agatelane.node.util.EventLog;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * The fleet as this router knows it: content of the store, loads, locations of prompt parts and crash suspects. Written
 * by the control thread, read by the threads that serve requests.
 */
public final class FleetState {
    private static final EventLog LOG = EventLog.of(FleetState.class);
    // Failures that have decayed below this do not affect the choice of an upstream, so they are not reported.
    private static final double MIN_REPORTED_FAILURES = 0.1;
    private static final double MIN_REPORTED_DEVIATION = 0.1;
    // Observations of an upstream's speed that have decayed below this change the estimate by a few percent at most.
    private static final double MIN_REPORTED_WEIGHT = 0.3;
    // Each hint and each read of the roll-out record renews a reservation, so those of a failed holder expire soon.
    // Longer than the time between two reads.
    static final long RESERVATION_MILLIS = 1_000;

    private final PeerLoads peers = new PeerLoads();
    private final PeerEntries<Long, AccountDemand> peerAccounts = new PeerEntries<>(AccountDemand::plus);
    private final PeerEntries<ServiceDemand.Key, ServiceDemand> peerServices = new PeerEntries<>(ServiceDemand::plus);
    private final PlacementIndex placements = new PlacementIndex();
    private final CrashSuspects suspects = new CrashSuspects();
    private final PartSuspects partSuspects = new PartSuspects();
    private final AbandonedRequests abandoned = new AbandonedRequests();
    private final UpstreamNotices notices = new UpstreamNotices();
    private final Map<String, UpstreamLoad> loads = new ConcurrentHashMap<>();
    private final Map<String, Map<String, Long>> observedWeights = new ConcurrentHashMap<>();
    private final Map<String, RequestedWeights> requestedWeights = new ConcurrentHashMap<>();
    private final Set<String> replaced = ConcurrentHashMap.newKeySet();
    private final Map<Long, Long> reservedUntilMillis = new ConcurrentHashMap<>();
    private volatile Optional<CacheStore> cacheStore = Optional.empty();
    private volatile int routerCount = 1;
    private volatile RolloutHints rolloutHints = RolloutHints.NONE;
    private volatile FleetSnapshot snapshot = new FleetSnapshot(FleetView.EMPTY, Optional.empty(), Map.of(), Map.of());

    /** Requests that were in flight when upstreams crashed. */
    public CrashSuspects suspects() {
        return suspects;
    }

    /** The requests and parts of prompts that are refused, as kept in the store. */
    QuarantineRecord quarantine(ClockReading now) {
        List<QuarantineRecord.Crash> crashes = suspects.quarantine(now.monotonicMillis()).stream()
                .map(report -> new QuarantineRecord.Crash(
                        report.fingerprint(),
                        report.crash(),
                        now.epochMillis() - report.ageMillis(),
                        report.wasAnswered()))
                .toList();
        List<QuarantineRecord.End> ends = partSuspects.quarantine(now.monotonicMillis()).stream()
                .map(report -> new QuarantineRecord.End(
                        report.part(), report.engine().orElseThrow(), now.epochMillis() - report.ageMillis()))
                .toList();
        return new QuarantineRecord(crashes, ends);
    }

    /** Refuses the requests and parts of prompts of a record that was kept in the store. */
    void restoreQuarantine(QuarantineRecord record, ClockReading now) {
        record.crashes()
                .forEach(crash -> suspects.mergeReport(
                        CrashReport.crash(
                                crash.request(),
                                crash.crash(),
                                ageMillis(crash.epochMillis(), now),
                                crash.wasAnswered()),
                        now.monotonicMillis()));
        partSuspects.restore(
                record.ends().stream()
                        .map(end -> new PartReport(
                                end.part(), OptionalLong.of(end.engine()), ageMillis(end.epochMillis(), now)))
                        .toList(),
                now.monotonicMillis());
    }

    /** Returns a record without the events that are cleared, or too old to refuse anything. */
    QuarantineRecord withoutCleared(QuarantineRecord record, ClockReading now) {
        return new QuarantineRecord(
                record.crashes().stream()
                        .filter(crash -> ageMillis(crash.epochMillis(), now) < CrashSuspects.MAX_RETENTION_MILLIS
                                && !suspects.isCleared(crash.request(), crash.crash()))
                        .toList(),
                record.ends().stream()
                        .filter(end -> ageMillis(end.epochMillis(), now) < PartSuspects.QUARANTINE_MILLIS
                                && !partSuspects.isCleared(
                                        end.part(), now.monotonicMillis() - ageMillis(end.epochMillis(), now)))
                        .toList());
    }

    // Wall clocks of routers differ a little.
    private static long ageMillis(long epochMillis, ClockReading now) {
        return Math.max(0, now.epochMillis() - epochMillis);
    }

    /** Shared parts of prompts under which engines have ended. */
    public PartSuspects partSuspects() {
        return partSuspects;
    }

    /** Requests that were given up before their upstreams responded. */
    public AbandonedRequests abandoned() {
        return abandoned;
    }

    /** Records that an upstream has ended without notice, maybe by a request that was given up there. */
    public void recordEnded(FleetUpstream upstream, long nowMillis) {
        abandoned.takeEnded(upstream.key(), nowMillis).forEach(request -> {
            boolean counts =
                    suspects.recordEnd(request.fingerprint(), keyHash(upstream), request.sinceMillis(), nowMillis);
            LOG.event("abandoned_request_suspected")
                    .with("upstream", upstream.key())
                    .with("fingerprint", Long.toHexString(request.fingerprint()))
                    .with("after_ms", Math.max(0, nowMillis - request.sinceMillis()))
                    .with("counts", counts)
                    .info();
        });
    }

    private void recordVanished(FleetUpstream upstream, long nowMillis) {
        if (upstream.draining() || notices.isLeaving(upstream.key())) {
            abandoned.forget(upstream.key());
        } else {
            recordEnded(upstream, nowMillis);
        }
    }

    /** What upstreams have said about the requests that they want. */
    public UpstreamNotices notices() {
        return notices;
    }

    public FleetSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Applies the result of a read of the store.
     *
     * @param verifiedAt when the read was sent
     * @param provenAt when the configuration of the view is known to have been current; earlier than the read where
     *     the store may have lost a newer one
     * @param rollout the record of the holder of the roll-out lease, as read
     * @param requestTimes the times of requested weights that routers have recorded, as read
     * @param afterOutage whether reads have failed all the time since the content was last verified
     */
    public void update(
            FleetView view,
            ClockReading verifiedAt,
            ClockReading provenAt,
            RolloutRecord rollout,
            WeightsRequestTimes requestTimes,
            boolean afterOutage) {
        // Any version that this read shows first was requested after the content was last verified.
        RequestedWeights.RequestTime firstRead =
                new RequestedWeights.RequestTime(verifiedAt, snapshot.configVerifiedAt(), afterOutage);
        List<FleetUpstream> formerUpstreams = snapshot.view().upstreams();
        view.newestWeightsVersions()
                .forEach((model, version) -> requestedWeights.merge(
                        model,
                        RequestedWeights.of(version, firstRead),
                        (known, read) -> known.with(version, firstRead)));
        requestedWeights.replaceAll(
                (model, known) -> known.withReported(requestTimes.of(model, verifiedAt), verifiedAt));
        snapshot = new FleetSnapshot(view, Optional.of(provenAt), rollout.loadedWeights(), requestedWeights);
        Set<String> present = view.upstreams().stream().map(FleetUpstream::key).collect(Collectors.toSet());
        formerUpstreams.stream()
                .filter(upstream -> !present.contains(upstream.key()))
                .forEach(upstream -> recordVanished(upstream, verifiedAt.monotonicMillis()));
        loads.keySet().retainAll(present);
        observedWeights.keySet().retainAll(present);
        replaced.retainAll(present);
        notices.forgetOld(present, verifiedAt.monotonicMillis());
        long untilMillis = verifiedAt.monotonicMillis() + RESERVATION_MILLIS;
        view.upstreams().stream()
                .filter(upstream -> view.reservedUpstreamIds().contains(upstream.id()))
                .forEach(upstream -> recordReservation(keyHash(upstream), untilMillis));
        reservedUntilMillis.values().removeIf(until -> until < verifiedAt.monotonicMillis());
    }

    /** Records another time at which the content that was read is known to have been current. */
    void confirmCurrent(ClockReading verifiedAt) {
        snapshot = snapshot.withConfigVerifiedAt(verifiedAt);
    }

    /** The KV cache store; empty while it does not respond. */
    public Optional<CacheStore> cacheStore() {
        return cacheStore;
    }

    /** Sets the KV cache store; empty while it does not respond. */
    void setCacheStore(Optional<CacheStore> store) {
        cacheStore = store;
    }

    /** Records until when an upstream counts as reserved by the holder of the roll-out lease, unless renewed. */
    public void recordReservation(long upstreamHash, long untilMillis) {
        reservedUntilMillis.merge(upstreamHash, untilMillis, Math::max);
    }

    /** Applies the announced hints of the holder of the roll-out lease. */
    void applyHints(RolloutHints hints, long nowMillis) {
        hints.reserved().forEach(upstream -> recordReservation(upstream, nowMillis + RESERVATION_MILLIS));
        hints.loaded().forEach(this::recordLoadedWeights);
    }

    /** Records weights that an upstream has loaded, as seen by the holder of the roll-out lease. */
    public void recordLoadedWeights(ModelOnUpstream loaded, long version) {
        for (FleetUpstream upstream : snapshot.view().upstreams()) {
            if (keyHash(upstream) == loaded.upstream()) {
                upstream.weightsVersions().keySet().stream()
                        .filter(model -> Rendezvous.hash(model) == loaded.model())
                        .forEach(model -> recordWeightsVersion(upstream, model, version));
            }
        }
    }

    /** The hints that this router announces to the others as holder of the roll-out lease. */
    public RolloutHints rolloutHints() {
        return rolloutHints;
    }

    /** Sets the hints to announce to the other routers. */
    void setRolloutHints(RolloutHints hints) {
        rolloutHints = hints;
    }

    /** Number of routers that are registered in the store, this one included. */
    public int routerCount() {
        return routerCount;
    }

    /** Sets the number of registered routers, this one included. */
    void setRouterCount(int count) {
        routerCount = count;
    }

    /** Requests that the other routers have in flight. */
    public PeerLoads peers() {
        return peers;
    }

    /** Mean age of the loads that the other routers have reported; 0 when there are none. */
    public long peerAgeMillis(long nowMillis) {
        return peers.meanAgeMillis(EnumSet.allOf(PeerLoads.Source.class), nowMillis);
    }

    /** Demand of client accounts with a rate limit at the other routers, by hash of the account's name. */
    public PeerEntries<Long, AccountDemand> peerAccounts() {
        return peerAccounts;
    }

    /** Demand for services at the other routers. */
    public PeerEntries<ServiceDemand.Key, ServiceDemand> peerServices() {
        return peerServices;
    }

    /** Forgets what a router has reported, because another one reports it from now on. */
    void removePeer(String vm) {
        peers.remove(vm);
        peerAccounts.remove(vm);
        peerServices.remove(vm);
    }

    /** Index of the holders that shared prompt parts were sent to. */
    public PlacementIndex placements() {
        return placements;
    }

    /** Estimates the load that all routers together put on an upstream. */
    public UpstreamEstimate estimate(FleetUpstream upstream, long nowMillis) {
        return load(upstream).estimate(peers.expected(keyHash(upstream), nowMillis), nowMillis);
    }

    /** The loads that this router reports to the others. */
    public List<PeerLoad> reportedLoads(long nowMillis) {
        return snapshot.view().upstreams().stream()
                .map(upstream -> load(upstream).digest(keyHash(upstream), nowMillis))
                .filter(load -> load.inFlight() > 0
                        || load.failures() > MIN_REPORTED_FAILURES
                        || isNotable(load.pace().evidence()))
                .toList();
    }

    // Idle upstreams of usual speed are left out, because each entry costs bytes and time at all routers.
    private static boolean isNotable(DurationEvidence evidence) {
        return evidence.weight() > MIN_REPORTED_WEIGHT
                && Math.abs(evidence.durationFactor() - 1) > MIN_REPORTED_DEVIATION;
    }

    boolean isReserved(FleetUpstream upstream, long nowMillis) {
        return reservedUntilMillis.getOrDefault(keyHash(upstream), 0L) > nowMillis;
    }

    /** Fingerprint of one incarnation of an upstream, as in digests. */
    public static long keyHash(FleetUpstream upstream) {
        return Rendezvous.hash(upstream.key());
    }

    /** The load that this router puts on one incarnation of an upstream. */
    public UpstreamLoad load(FleetUpstream upstream) {
        return loads.computeIfAbsent(upstream.key(), key -> new UpstreamLoad());
    }

    /** Records the version of a model's weights that a response was generated with. */
    public void recordWeightsVersion(FleetUpstream upstream, String model, long version) {
        observedWeights
                .computeIfAbsent(upstream.key(), key -> new ConcurrentHashMap<>())
                .merge(model, version, Math::max);
    }

    /** Keeps the weights versions that upstreams are known to have, whatever older entries say from now on. */
    void rememberWeightsVersions() {
        FleetSnapshot known = snapshot;
        known.view().upstreams().forEach(upstream -> upstream.weightsVersions()
                .keySet()
                .forEach(model -> recordWeightsVersion(upstream, model, weightsVersion(known, upstream, model))));
    }

    /** Records that another upstream responds at this one's address. */
    public void recordReplacement(FleetUpstream upstream) {
        replaced.add(upstream.key());
    }

    /** Version of a model's weights that an upstream has, from its entry and its responses; 0 when it has none. */
    public long weightsVersion(FleetSnapshot requestSnapshot, FleetUpstream upstream, String model) {
        long listed = requestSnapshot.weightsVersion(upstream, model);
        long observed = observedWeights.getOrDefault(upstream.key(), Map.of()).getOrDefault(model, 0L);
        return listed == 0 ? 0 : Math.max(listed, observed);
    }

    /**
     * Upstreams that a request could go to.
     *
     * @param model empty for requests without a prompt
     * @param excluded keys of upstreams that the request has been sent to
     */
    public List<Candidate> candidates(
            FleetSnapshot requestSnapshot,
            String service,
            Optional<String> model,
            Set<String> excluded,
            long nowMillis) {
        List<Candidate> all = requestSnapshot.usable(service).stream()
                .filter(upstream -> !excluded.contains(upstream.key())
                        && !replaced.contains(upstream.key())
                        && notices.pauseMillis(upstream.key(), nowMillis) == 0)
                .map(upstream -> new Candidate(
                        upstream,
                        estimate(upstream, nowMillis),
                        model.map(name -> weightsVersion(requestSnapshot, upstream, name))
                                .orElse(0L)))
                .filter(candidate -> model.isEmpty() || candidate.weightsVersion() > 0)
                .toList();
        List<Candidate> staying = all.stream()
                .filter(candidate -> !notices.isLeaving(candidate.upstream().key()))
                .toList();
        if (staying.isEmpty()) {
            return all.stream()
                    .filter(candidate ->
                            notices.isUsableAsLast(candidate.upstream().key(), nowMillis))
                    .toList();
        }
        List<Candidate> notReserved = staying.stream()
                .filter(candidate -> !isReserved(candidate.upstream(), nowMillis))
                .toList();
        return notReserved.isEmpty() ? staying : notReserved;
    }

    /** Whether an upstream takes orders and requests at this moment, as far as it has said. */
    boolean isAvailable(FleetUpstream upstream, long nowMillis) {
        return !notices.isLeaving(upstream.key()) && notices.pauseMillis(upstream.key(), nowMillis) == 0;
    }

    /** Returns the time until the first upstream of a service takes requests; 0 when one takes them or none stays. */
    public long pauseMillis(FleetSnapshot requestSnapshot, String service, long nowMillis) {
        return requestSnapshot.usable(service).stream()
                .filter(upstream -> !notices.isLeaving(upstream.key()))
                .mapToLong(upstream -> notices.pauseMillis(upstream.key(), nowMillis))
                .min()
                .orElse(0);
    }
}
