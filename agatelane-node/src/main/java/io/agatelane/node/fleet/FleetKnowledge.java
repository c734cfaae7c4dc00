package io.agatelane.node.fleet;

import io.agatelane.core.fleet.ConfigProof;
import io.agatelane.core.fleet.FleetConfig;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.FleetView;
import io.agatelane.core.fleet.NamedWeights;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** An immutable state of what a router knows, for the threads that serve requests. */
public final class FleetKnowledge {
    private final FleetView view;
    private final Optional<ConfigProof> proof;
    private final Map<String, Long> loadedWeights;
    private final Map<String, NamedWeights> namedWeights;
    private final Map<String, List<FleetUpstream>> usable;

    /**
     * Indexes a view.
     *
     * @param proof empty until the store was read once
     * @param loadedWeights upstream key to the version that it is known to have loaded since its entry was written
     * @param namedWeights model to its newest weights
     */
    public FleetKnowledge(
            FleetView view,
            Optional<ConfigProof> proof,
            Map<String, Long> loadedWeights,
            Map<String, NamedWeights> namedWeights) {
        this.view = view;
        this.proof = proof;
        this.loadedWeights = Map.copyOf(loadedWeights);
        this.namedWeights = Map.copyOf(namedWeights);
        this.usable = view.upstreams().stream()
                .filter(upstream -> !upstream.draining())
                .collect(Collectors.groupingBy(FleetUpstream::service));
    }

    private FleetKnowledge(FleetKnowledge known, ConfigProof proof) {
        this.view = known.view;
        this.proof = Optional.of(proof);
        this.loadedWeights = known.loadedWeights;
        this.namedWeights = known.namedWeights;
        this.usable = known.usable;
    }

    /** The same knowledge, proven current at another moment. */
    FleetKnowledge withProof(ConfigProof newer) {
        return new FleetKnowledge(this, newer);
    }

    public FleetView view() {
        return view;
    }

    public Optional<FleetConfig> config() {
        return view.config();
    }

    public Optional<ConfigProof> proof() {
        return proof;
    }

    /** The upstreams of a service that take new work. */
    public List<FleetUpstream> usable(String service) {
        return usable.getOrDefault(service, List.of());
    }

    /** Version of a model's weights that an upstream has; 0 when it does not serve the model. */
    public long weightsVersion(FleetUpstream upstream, String model) {
        Long stated = upstream.weightsVersions().get(model);
        return stated == null ? 0 : Math.max(stated, loadedWeights.getOrDefault(upstream.key(), 0L));
    }

    /** Newest weights that the operator named for a model; empty when unknown. */
    public Optional<NamedWeights> newestWeights(String model) {
        return Optional.ofNullable(namedWeights.get(model));
    }
}
