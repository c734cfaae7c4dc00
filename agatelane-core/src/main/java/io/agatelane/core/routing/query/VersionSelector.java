package io.agatelane.core.routing.query;

import io.agatelane.core.hash.Rendezvous;
import io.agatelane.core.routing.ModelFleet;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Selects the weights version that serves a new request for a model. Normally that is the configured one. During a
 * roll-out, at most two engines load weights at the same time, so engines with the configured weights and engines with
 * other weights share the requests in proportion to their numbers; otherwise the model would be unavailable until the
 * first engine has loaded the new weights.
 */
public final class VersionSelector {
    private static final int HASH_SEED = 7;

    private final List<ModelFleet> fleets;
    private final int engineCount;

    private VersionSelector(List<ModelFleet> fleets) {
        this.fleets = fleets;
        this.engineCount = fleets.stream().mapToInt(ModelFleet::size).sum();
    }

    /** Creates a selector for the ready engines of a model, by their weights version. */
    public static VersionSelector of(Map<String, ModelFleet> fleetsByVersion) {
        return new VersionSelector(new TreeMap<>(fleetsByVersion)
                .values().stream()
                        .filter(fleet -> fleet.size() > 0)
                        .sorted(Comparator.comparing(ModelFleet::weightsVersion))
                        .toList());
    }

    /**
     * Returns the weights version for a request.
     *
     * @param configured the configured version, which is returned when no engine is ready
     * @param seed differs between requests, to distribute them
     */
    public String choose(String configured, long seed) {
        if (fleets.isEmpty()) {
            return configured;
        }
        if (fleets.size() == 1) {
            return fleets.get(0).weightsVersion();
        }
        long remaining = Long.remainderUnsigned(Rendezvous.weight(seed, HASH_SEED), engineCount);
        for (ModelFleet fleet : fleets) {
            remaining -= fleet.size();
            if (remaining < 0) {
                return fleet.weightsVersion();
            }
        }
        return configured;
    }
}
