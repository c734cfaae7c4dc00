package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.hash.Rendezvous;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects the engines that get long prompts only when no other engine has room.
 *
 * <p>Answers a load of many short prompts beside long ones in a deployment with many routers. A short prompt waits for
 * the prefill of a long one at its engine, whatever its priority, and the reports of other routers are older than such a
 * prefill lasts, so no router can see in time which engines are free of it. All routers select the same engines, by
 * hashing, without talking to each other.
 */
public final class ShortPromptEngines {
    // Enough slots for the short prompts of the known deployments, which run for a few hundred milliseconds each.
    private static final double SHARE = 0.25;
    // With fewer engines in a zone, long prompts need all of them.
    private static final int MIN_ENGINES = 4;
    private static final long SEED = Rendezvous.hash("short-prompts");

    private ShortPromptEngines() {}

    /** Returns the ids of a quarter of the engines of each availability zone; none of a zone with few engines. */
    public static Set<String> of(List<FleetUpstream> engines) {
        Map<String, List<FleetUpstream>> byZone = engines.stream().collect(Collectors.groupingBy(FleetUpstream::zone));
        Set<String> selected = new HashSet<>();
        byZone.values().stream().filter(zone -> zone.size() >= MIN_ENGINES).forEach(zone -> zone.stream()
                .sorted(Comparator.comparingLong(ShortPromptEngines::rank))
                .limit((long) Math.floor(zone.size() * SHARE))
                .forEach(engine -> selected.add(engine.id())));
        return selected;
    }

    private static long rank(FleetUpstream engine) {
        return Rendezvous.weight(SEED, Rendezvous.hash(engine.id()));
    }
}
