package io.agatelane.node.io.engine;

import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.model.Model;
import io.agatelane.core.model.Upstream;
import io.agatelane.core.routing.LoadReport;
import io.agatelane.core.routing.ModelFleet;
import io.agatelane.core.routing.UpstreamState;
import io.agatelane.core.routing.command.StragglerProbation;
import io.agatelane.core.routing.query.VersionSelector;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.util.EventLog;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The engines of the configuration. Changes run on the control thread; other threads read immutable snapshots.
 */
final class EngineTable {
    private static final EventLog LOG = EventLog.of(EngineTable.class);
    private static final double SAME_ZONE_ROUND_TRIP_MILLIS = 0.5;
    private static final double OTHER_ZONE_ROUND_TRIP_MILLIS = 5;
    private static final double ROUND_TRIP_WEIGHT = 0.05;
    private static final long MIN_PEER_MARK_MILLIS = 2_000;

    private final NodeContext context;
    private volatile Map<String, Engine> engines = Map.of();
    private volatile Map<String, ServedModel> servedModels = Map.of();
    private volatile ConfigSnapshot config = ConfigSnapshot.empty();

    EngineTable(NodeContext context) {
        this.context = context;
    }

    /** All engines in name order. */
    Map<String, Engine> engines() {
        return engines;
    }

    Optional<Engine> engine(String name) {
        return Optional.ofNullable(engines.get(name));
    }

    /** Returns the engines of a model with its weights version; empty for an unknown model. */
    ModelFleet fleet(Model model) {
        ServedModel current = servedModels.get(model.name());
        ModelFleet fleet = current == null ? null : current.fleets().get(model.weightsVersion());
        if (fleet != null) {
            return fleet;
        }
        // The configuration can be newer than the fleets built by the control thread for a moment.
        return new ModelFleet(
                model.name(),
                model.weightsVersion(),
                statesOf(model),
                context.settings().availabilityZone());
    }

    /** Returns the model with the weights version that serves a request. */
    Model withServedWeights(Model configured, long seed) {
        ServedModel current = servedModels.get(configured.name());
        if (current == null) {
            return configured;
        }
        String version = current.versionSelector().choose(configured.weightsVersion(), seed);
        return version.equals(configured.weightsVersion()) ? configured : configured.withWeightsVersion(version);
    }

    /**
     * Returns the request with a weights version that a ready engine outside the tried ones serves; unchanged if its
     * own version is still served by such an engine.
     */
    ChatRequest withWeightsOfOtherEngine(ChatRequest request, Set<String> tried) {
        ServedModel current = servedModels.get(request.model().name());
        if (current == null || hasReadyUntried(fleet(request.model()), tried)) {
            return request;
        }
        return current.fleets().values().stream()
                .filter(fleet -> hasReadyUntried(fleet, tried))
                .findFirst()
                .map(fleet -> request.withWeightsVersion(fleet.weightsVersion()))
                .orElse(request);
    }

    /** Applies the engines of a new configuration. */
    void applyConfig(ConfigSnapshot snapshot) {
        TreeMap<String, Engine> next = new TreeMap<>();
        for (Upstream upstream : snapshot.upstreams()) {
            if (upstream.isEngine()) {
                next.put(upstream.name(), reuseOrCreate(upstream));
            }
        }
        engines = Collections.unmodifiableMap(next);
        config = snapshot;
        rebuildFleets();
    }

    /** Applies a load report of an engine. */
    void applyReport(Engine engine, LoadReport report, double roundTripMillis) {
        UpstreamState state = engine.state();
        LoadReport previous = state.report();
        boolean wasReady = isReady(state);
        engine.setFailedPolls(0);
        state.setReachable(true);
        state.setReport(report);
        state.setRoundTripMillis(smoothedRoundTripMillis(state.roundTripMillis(), roundTripMillis));
        // A draining mark set by a peer is cleared once a later report of the engine itself does not say that it is
        // draining.
        boolean markExpired = report.measuredAtMillis() - state.drainingByPeerMillis() > MIN_PEER_MARK_MILLIS;
        if (state.drainingByPeer() && !report.draining() && markExpired) {
            state.setDrainingByPeer(false, report.measuredAtMillis());
        }
        boolean replaced = previous == null
                || !previous.incarnation().equals(report.incarnation())
                || !previous.weightsVersion().equals(report.weightsVersion())
                || !previous.model().equals(report.model());
        if (replaced) {
            LOG.event("engine_seen")
                    .with("upstream", engine.name())
                    .with("incarnation", report.incarnation())
                    .with("weights", report.weightsVersion())
                    .info();
        }
        if (replaced || wasReady != isReady(state)) {
            rebuildFleets();
        }
    }

    /** Puts stragglers on probation and ends probations. Runs on the control thread. */
    void updateProbations(long nowMillis) {
        for (Model model : config.models()) {
            for (UpstreamState state : StragglerProbation.update(statesOf(model), nowMillis)) {
                LOG.event(state.probation() ? "probation_started" : "probation_ended")
                        .with("upstream", state.name())
                        .with("latency_factor", state.latencyFactor())
                        .info();
            }
        }
    }

    /** Stops routing to an engine that cannot be reached. Thread-safe. */
    void markUnreachable(Engine engine, String reason) {
        if (!engine.state().reachable()) {
            return;
        }
        engine.state().setReachable(false);
        LOG.event("engine_unreachable")
                .with("upstream", engine.name())
                .with("reason", reason)
                .warning();
        context.control().execute(this::rebuildFleets);
    }

    /** Rebuilds the snapshots that routing decisions read. Runs on the control thread. */
    void rebuildFleets() {
        Map<String, ServedModel> next = new HashMap<>();
        for (Model model : config.models()) {
            next.put(model.name(), servedModel(model));
        }
        servedModels = next;
    }

    private ServedModel servedModel(Model model) {
        List<UpstreamState> states = statesOf(model);
        Set<String> versions = new TreeSet<>();
        versions.add(model.weightsVersion());
        states.stream()
                .map(UpstreamState::report)
                .filter(report -> report != null && report.model().equals(model.name()))
                .forEach(report -> versions.add(report.weightsVersion()));
        Map<String, ModelFleet> fleets = new HashMap<>();
        for (String version : versions) {
            fleets.put(
                    version,
                    new ModelFleet(
                            model.name(), version, states, context.settings().availabilityZone()));
        }
        return new ServedModel(fleets, VersionSelector.of(fleets));
    }

    // A poll measures the network and any delay in both processes. The shortest polls are closest to the network round
    // trip, so the estimate falls at once and rises slowly; the first polls after a start took over 100 ms on loopback.
    private static double smoothedRoundTripMillis(double estimateMillis, double sampleMillis) {
        return sampleMillis < estimateMillis
                ? sampleMillis
                : estimateMillis + ROUND_TRIP_WEIGHT * (Math.min(sampleMillis, 2 * estimateMillis) - estimateMillis);
    }

    private Engine reuseOrCreate(Upstream upstream) {
        Engine current = engines.get(upstream.name());
        Engine next;
        if (current != null && current.baseUrl().equals(upstream.baseUrl())) {
            next = current.withUpstream(upstream);
        } else {
            boolean sameZone =
                    upstream.availabilityZone().equals(context.settings().availabilityZone());
            double roundTripMillis = sameZone ? SAME_ZONE_ROUND_TRIP_MILLIS : OTHER_ZONE_ROUND_TRIP_MILLIS;
            next = new Engine(
                    upstream, new UpstreamState(upstream.name(), upstream.availabilityZone(), roundTripMillis));
        }
        next.state().setDrainingByConfig(upstream.draining());
        return next;
    }

    private List<UpstreamState> statesOf(Model model) {
        return engines.values().stream()
                .filter(engine -> engine.upstream().models().contains(model.name()))
                .map(Engine::state)
                .toList();
    }

    private static boolean hasReadyUntried(ModelFleet fleet, Set<String> tried) {
        for (int i = 0; i < fleet.size(); i++) {
            UpstreamState member = fleet.member(i);
            if (fleet.isReady(member) && !tried.contains(member.name())) {
                return true;
            }
        }
        return false;
    }

    private boolean isReady(UpstreamState state) {
        LoadReport report = state.report();
        return report != null
                && config.model(report.model()).isPresent()
                && state.isReady(report.model(), report.weightsVersion());
    }

    private record ServedModel(Map<String, ModelFleet> fleets, VersionSelector versionSelector) {}
}
