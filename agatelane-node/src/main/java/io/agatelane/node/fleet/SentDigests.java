package io.agatelane.node.fleet;

import io.agatelane.core.fleet.ConfigProof;
import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.PlacementIndex.Placement;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What this router has told its relay: when, so that the answer of the relay can prove something, and what, because the
 * answer includes it. Not thread-safe.
 */
final class SentDigests {
    // Some seconds of digests; a later answer proves nothing useful.
    private static final int MAX_TIMES = 32;
    // Placements on their way; one that is counted twice makes a part look a little older.
    private static final int MAX_PLACEMENTS = 512;

    private final Map<Long, ConfigProof> times = bounded(MAX_TIMES);
    private final Map<Placement, Boolean> placements = bounded(MAX_PLACEMENTS);
    private Map<Long, PeerLoad> loads = Map.of();

    void sent(long sequence, ConfigProof time, List<PeerLoad> sentLoads, List<Placement> sentPlacements) {
        times.put(sequence, time);
        Map<Long, PeerLoad> byUpstream = new HashMap<>();
        sentLoads.forEach(load -> byUpstream.put(load.upstream(), load));
        loads = byUpstream;
        sentPlacements.forEach(placement -> placements.put(placement, true));
    }

    /** When a digest was sent; empty when it is unknown or long ago. */
    Optional<ConfigProof> time(long sequence) {
        return Optional.ofNullable(times.get(sequence));
    }

    /** The loads that a relay has passed on, without this router's own part. */
    List<PeerLoad> withoutOwn(List<PeerLoad> relayed) {
        Map<Long, PeerLoad> left = new HashMap<>(loads);
        return relayed.stream()
                .map(load -> Optional.ofNullable(left.remove(load.upstream()))
                        .map(load::minus)
                        .orElse(load))
                .toList();
    }

    /** Whether a placement is not one of this router's own that has come back. */
    boolean isForeign(Placement placement) {
        return placements.remove(placement) == null;
    }

    private static <K, V> Map<K, V> bounded(int size) {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > size;
            }
        };
    }
}
