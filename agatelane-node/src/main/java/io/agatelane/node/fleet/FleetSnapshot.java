package io.agatelane.node.fleet;

import io.agatelane.core.fleet.ClockReading;
import io.agatelane.core.fleet.FleetConfig;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.FleetView;
import io.agatelane.core.fleet.RequestedWeights;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** Immutable snapshot of the fleet as a router knows it, for the threads that serve requests. */
public final class FleetSnapshot {
    private final FleetView view;
    private final Optional<ClockReading> configVerifiedAt;
    private final Map<String, Map<String, Long>> loadedWeights;
    private final Map<String, RequestedWeights> requestedWeights;
    private final Map<String, List<FleetUpstream>> usable;

    /**
     * Creates a snapshot of a view.
     *
     * @param configVerifiedAt when the configuration was last verified as current; empty until the store was read once
     * @param loadedWeights upstream key to the versions that it has loaded since its entry was written, by model
     * @param requestedWeights model to the versions of its weights that the operator requested
     */
    public FleetSnapshot(
            FleetView view,
            Optional<ClockReading> configVerifiedAt,
            Map<String, Map<String, Long>> loadedWeights,
            Map<String, RequestedWeights> requestedWeights) {
        this.view = view;
        this.configVerifiedAt = configVerifiedAt;
        this.loadedWeights = Map.copyOf(loadedWeights);
        this.requestedWeights = Map.copyOf(requestedWeights);
        this.usable = view.upstreams().stream()
                .filter(upstream -> !upstream.draining())
                .collect(Collectors.groupingBy(FleetUpstream::service));
    }

    private FleetSnapshot(FleetSnapshot base, ClockReading configVerifiedAt) {
        this.view = base.view;
        this.configVerifiedAt = Optional.of(configVerifiedAt);
        this.loadedWeights = base.loadedWeights;
        this.requestedWeights = base.requestedWeights;
        this.usable = base.usable;
    }

    /** The same snapshot, verified as current at another time. */
    FleetSnapshot withConfigVerifiedAt(ClockReading verifiedAt) {
        return new FleetSnapshot(this, verifiedAt);
    }

    public FleetView view() {
        return view;
    }

    public Optional<FleetConfig> config() {
        return view.config();
    }

    /** When the configuration was last verified as current; empty until the store was read once. */
    public Optional<ClockReading> configVerifiedAt() {
        return configVerifiedAt;
    }

    /** Time since the configuration was last verified as current; the largest number until the store was read once. */
    public long configAgeMillis(ClockReading now) {
        return configVerifiedAt
                .map(verifiedAt -> verifiedAt.ageMillis(now.monotonicMillis(), now.epochMillis()))
                .orElse(Long.MAX_VALUE);
    }

    /** The upstreams of a service that take new work. */
    public List<FleetUpstream> usable(String service) {
        return usable.getOrDefault(service, List.of());
    }

    /** Version of a model's weights that an upstream has; 0 when it does not serve the model. */
    public long weightsVersion(FleetUpstream upstream, String model) {
        Long listed = upstream.weightsVersions().get(model);
        long loaded = loadedWeights.getOrDefault(upstream.key(), Map.of()).getOrDefault(model, 0L);
        return listed == null ? 0 : Math.max(listed, loaded);
    }

    /** What this router knows of the times at which weights were requested, for the other routers. */
    WeightsRequestTimes requestTimes() {
        return WeightsRequestTimes.from(requestedWeights);
    }

    /** Versions of a model's weights that the operator requested; empty when unknown. */
    public Optional<RequestedWeights> requestedWeights(String model) {
        return Optional.ofNullable(requestedWeights.get(model));
    }
}
