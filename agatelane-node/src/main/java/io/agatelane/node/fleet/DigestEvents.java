package io.agatelane.node.fleet;

import io.agatelane.core.fleet.CrashReport;
import io.agatelane.core.fleet.PartReport;
import io.agatelane.core.fleet.PlacementIndex.Placement;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Events that a digest reports: uses of prompt parts, crashes of upstreams, and parts under which engines ended. */
record DigestEvents(List<Placement> placements, List<CrashReport> crashes, List<PartReport> partReports) {
    static final DigestEvents NONE = new DigestEvents(List.of(), List.of(), List.of());
    // Events wait for one gossip period only; a surplus beyond this limit is dropped.
    private static final int MAX_EVENTS = 2_000;

    DigestEvents {
        placements = List.copyOf(placements);
        crashes = List.copyOf(crashes);
        partReports = List.copyOf(partReports);
    }

    DigestEvents plus(DigestEvents other) {
        return new DigestEvents(
                joined(placements, other.placements),
                distinct(crashes, other.crashes, CrashReport::key),
                distinct(partReports, other.partReports, report -> report));
    }

    /** Returns the events that may be received several times. */
    DigestEvents repeatable() {
        return new DigestEvents(List.of(), crashes, partReports);
    }

    // Many routers repeat the same report, and a relay passes it on once.
    private static <T> List<T> distinct(List<T> first, List<T> second, Function<T, Object> key) {
        Map<Object, T> all = new LinkedHashMap<>();
        first.forEach(event -> all.putIfAbsent(key.apply(event), event));
        second.forEach(event -> all.putIfAbsent(key.apply(event), event));
        return all.values().stream().limit(MAX_EVENTS).toList();
    }

    private static <T> List<T> joined(List<T> first, List<T> second) {
        List<T> all = new ArrayList<>(first);
        all.addAll(second.subList(0, Math.min(second.size(), Math.max(0, MAX_EVENTS - first.size()))));
        return all;
    }
}
