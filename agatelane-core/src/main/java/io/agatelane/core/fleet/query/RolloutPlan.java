package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.FleetUpstream;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** Decides which engines load new weights next. */
public final class RolloutPlan {
    private RolloutPlan() {}

    /** Whether an engine has weights that the operator has replaced. */
    public static boolean isOutdated(FleetUpstream upstream, Map<String, Long> newestWeights) {
        return !upstream.draining()
                && upstream.weightsVersions().entrySet().stream()
                        .anyMatch(loaded -> loaded.getValue() < newestWeights.getOrDefault(loaded.getKey(), 0L));
    }

    /**
     * The engines to take out of service now: the oldest weights first, among equals the idlest.
     *
     * <p>Answers the load of a roll-out in the middle of a day: engines of one service leave together only up to the
     * number of concurrent loads, so that the rest can carry the traffic.
     *
     * @param reserved ids of engines that are out of service already
     * @param maxReserved most engines out of service at once
     */
    public static List<FleetUpstream> next(
            List<FleetUpstream> upstreams,
            Map<String, Long> newestWeights,
            Set<String> reserved,
            int maxReserved,
            ToDoubleFunction<FleetUpstream> load) {
        return upstreams.stream()
                .filter(upstream -> isOutdated(upstream, newestWeights))
                .filter(upstream -> !reserved.contains(upstream.id()))
                .sorted(Comparator.comparingLong(RolloutPlan::oldestVersion)
                        .thenComparingDouble(load)
                        .thenComparing(FleetUpstream::id))
                .limit(Math.max(0, maxReserved - reserved.size()))
                .toList();
    }

    private static long oldestVersion(FleetUpstream upstream) {
        return upstream.weightsVersions().values().stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(0);
    }
}
