package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.FleetUpstream;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** Selects the engines that load new weights next. */
public final class RolloutSelector {
    private RolloutSelector() {}

    /** Whether an engine that is not draining has weights that the operator has replaced by newer ones. */
    public static boolean isOutdated(FleetUpstream upstream, Map<String, Long> newestWeightsVersions) {
        return !upstream.draining()
                && upstream.weightsVersions().entrySet().stream()
                        .anyMatch(
                                loaded -> loaded.getValue() < newestWeightsVersions.getOrDefault(loaded.getKey(), 0L));
    }

    /**
     * Returns the engines to take out of service now: those with the oldest weights first, among equals the least
     * loaded.
     *
     * <p>During a roll-out under full traffic, no more engines of a service are out of service at the same time than
     * may load weights concurrently, so that the others can serve the requests.
     *
     * @param reserved ids of engines that are already out of service
     * @param maxReserved maximum number of engines out of service at the same time
     */
    public static List<FleetUpstream> selectNext(
            List<FleetUpstream> upstreams,
            Map<String, Long> newestWeightsVersions,
            Set<String> reserved,
            int maxReserved,
            ToDoubleFunction<FleetUpstream> load) {
        return upstreams.stream()
                .filter(upstream -> isOutdated(upstream, newestWeightsVersions))
                .filter(upstream -> !reserved.contains(upstream.id()))
                .sorted(Comparator.comparingLong(
                                (FleetUpstream upstream) -> -versionsBehind(upstream, newestWeightsVersions))
                        .thenComparingDouble(load)
                        .thenComparing(FleetUpstream::id))
                .limit(Math.max(0, maxReserved - reserved.size()))
                .toList();
    }

    // Versions of different models cannot be compared with each other.
    private static long versionsBehind(FleetUpstream upstream, Map<String, Long> newestWeightsVersions) {
        return upstream.weightsVersions().entrySet().stream()
                .mapToLong(loaded -> newestWeightsVersions.getOrDefault(loaded.getKey(), 0L) - loaded.getValue())
                .max()
                .orElse(0);
    }
}
