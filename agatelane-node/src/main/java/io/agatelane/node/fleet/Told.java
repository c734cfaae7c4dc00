package io.agatelane.node.fleet;

import io.agatelane.core.fleet.CrashReport;
import io.agatelane.core.fleet.PlacementIndex.Placement;
import java.util.ArrayList;
import java.util.List;

/** Events that a digest tells once: uses of prompt parts, and breaks of upstreams. */
record Told(List<Placement> placements, List<CrashReport> crashes) {
    static final Told NOTHING = new Told(List.of(), List.of());
    // Events wait for one round only; more than this is a flood of which the rest is dropped.
    private static final int MAX_EVENTS = 2_000;

    Told {
        placements = List.copyOf(placements);
        crashes = List.copyOf(crashes);
    }

    Told plus(Told other) {
        return new Told(joined(placements, other.placements), joined(crashes, other.crashes));
    }

    private static <T> List<T> joined(List<T> first, List<T> second) {
        List<T> all = new ArrayList<>(first);
        all.addAll(second.subList(0, Math.min(second.size(), Math.max(0, MAX_EVENTS - first.size()))));
        return all;
    }
}
