package io.agatelane.core.routing.query;

import io.agatelane.core.model.RoutingPolicy;
import io.agatelane.core.routing.UpstreamState;
import java.util.function.Predicate;

/**
 * Constraints on the choice of an engine, in addition to the scores.
 *
 * @param routers number of routers known to share the engines; at least 1
 * @param excluded matches engines that this request must not use, for example because an earlier attempt failed there
 */
public record ChoiceConstraints(RoutingPolicy policy, int routers, Predicate<UpstreamState> excluded) {
    private static final int PERCENT = 100;

    /**
     * Returns the number of long requests that this router may run on an engine at the same time. The engine's slots
     * for long requests are divided among the routers; each router has at least one, so that long requests never
     * starve.
     */
    int maxLongRequests(int slots) {
        int longSlots = slots * policy.longSharePercent() / PERCENT;
        return Math.max(1, longSlots / Math.max(1, routers));
    }
}
