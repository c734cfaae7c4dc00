package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.PeerTotal;
import io.agatelane.core.fleet.PrefillBacklog;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The newest digests of the other routers, summed up for each upstream. Thread-safe. */
public final class PeerLoads {
    // A router that was not heard for this long is gone or cut off; what it had in flight says nothing any more.
    private static final long EXPIRY_MILLIS = 3_000;
    // Sums are made at most this often; digests are older than that anyway.
    private static final long REFRESH_MILLIS = 40;

    private final Map<String, Digest> digests = new HashMap<>();
    private Map<Long, PeerTotal> totals = Map.of();
    private long summedMillis = Long.MIN_VALUE;
    private boolean changed;

    private record Digest(long incarnation, long sequence, long receivedMillis, List<PeerLoad> loads) {}

    /** Takes a digest unless a newer one of the router is known. */
    public synchronized void update(String vm, long incarnation, long sequence, List<PeerLoad> loads, long nowMillis) {
        Digest known = digests.get(vm);
        boolean outdated = known != null
                && (known.incarnation() > incarnation
                        || (known.incarnation() == incarnation && known.sequence() >= sequence));
        if (!outdated) {
            digests.put(vm, new Digest(incarnation, sequence, nowMillis, List.copyOf(loads)));
            changed = true;
        }
    }

    /** Routers that were heard lately. */
    public synchronized int heard(long nowMillis) {
        expire(nowMillis);
        return digests.size();
    }

    /** The sum over all routers for an upstream. */
    public synchronized PeerTotal total(long upstream, long nowMillis) {
        if (summedMillis == Long.MIN_VALUE || nowMillis - summedMillis >= REFRESH_MILLIS) {
            expire(nowMillis);
            if (changed) {
                totals = sum();
                changed = false;
            }
            summedMillis = nowMillis;
        }
        return totals.getOrDefault(upstream, PeerTotal.NONE);
    }

    private void expire(long nowMillis) {
        changed |= digests.values().removeIf(digest -> nowMillis - digest.receivedMillis() > EXPIRY_MILLIS);
    }

    private Map<Long, PeerTotal> sum() {
        Map<Long, List<PeerLoad>> byUpstream = new HashMap<>();
        digests.values().forEach(digest -> digest.loads().forEach(load -> byUpstream
                .computeIfAbsent(load.upstream(), upstream -> new ArrayList<>())
                .add(load)));
        Map<Long, PeerTotal> result = new HashMap<>();
        byUpstream.forEach((upstream, loads) -> result.put(upstream, total(loads)));
        return result;
    }

    private static PeerTotal total(List<PeerLoad> loads) {
        int inFlight = 0;
        PrefillBacklog backlog = PrefillBacklog.EMPTY;
        int longestMillis = 0;
        int secondMillis = 0;
        double failures = 0;
        for (PeerLoad load : loads) {
            inFlight += load.inFlight();
            backlog = backlog.plus(load.backlog());
            failures += load.failures();
            secondMillis = Math.max(secondMillis, Math.min(longestMillis, load.silentMillis()));
            longestMillis = Math.max(longestMillis, load.silentMillis());
        }
        return new PeerTotal(inFlight, backlog, secondMillis, failures);
    }
}
