package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.PeerTotal;
import io.agatelane.core.fleet.PrefillBacklog;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The newest digests of the other routers, summed up for each upstream. Thread-safe. */
public final class PeerLoads {
    // A router that was not heard for this long is gone or cut off; what it had in flight says nothing any more.
    private static final long EXPIRY_MILLIS = 3_000;
    // Some packets; a relay that has been silent for longer is replaced by its members.
    private static final long RELAY_EXPIRY_MILLIS = 700;
    // Sums are made at most this often; digests are older than that anyway.
    private static final long REFRESH_MILLIS = 40;

    private final Map<String, Digest> digests = new HashMap<>();
    private Map<Long, PeerTotal> totals = Map.of();
    private long summedMillis = Long.MIN_VALUE;
    private boolean changed;

    /** Whom a digest speaks for. */
    public enum Source {
        /** One router. */
        ROUTER(EXPIRY_MILLIS),
        /** Several routers, summed up by a relay. When another relay takes over, both speak for the same for a while. */
        RELAY(RELAY_EXPIRY_MILLIS);

        private final long expiryMillis;

        Source(long expiryMillis) {
            this.expiryMillis = expiryMillis;
        }
    }

    private record Digest(Source source, long incarnation, long sequence, long receivedMillis, List<PeerLoad> loads) {}

    /** Takes a digest of one router unless a newer one is known. */
    public void update(String vm, long incarnation, long sequence, List<PeerLoad> loads, long nowMillis) {
        update(vm, Source.ROUTER, incarnation, sequence, loads, nowMillis);
    }

    /** Takes a digest unless a newer one of the router is known. */
    public synchronized void update(
            String vm, Source source, long incarnation, long sequence, List<PeerLoad> loads, long nowMillis) {
        Digest known = digests.get(vm);
        boolean outdated = known != null
                && (known.incarnation() > incarnation
                        || (known.incarnation() == incarnation && known.sequence() >= sequence));
        if (!outdated) {
            digests.put(vm, new Digest(source, incarnation, sequence, nowMillis, List.copyOf(loads)));
            changed = true;
        }
    }

    /** Drops what a router has said, because another one speaks for the same requests now. */
    public synchronized void forget(String vm) {
        changed |= digests.remove(vm) != null;
    }

    /**
     * What a relay passes on: for each upstream the sum, and a second entry without load for the second longest silence,
     * so that receivers still see whether two routers agree.
     *
     * @param sources whose digests to sum up
     * @param own what this router has in flight itself
     */
    public synchronized List<PeerLoad> merged(Set<Source> sources, List<PeerLoad> own, long nowMillis) {
        expire(nowMillis);
        List<List<PeerLoad>> all = new ArrayList<>();
        all.add(own);
        digests.values().stream()
                .filter(digest -> sources.contains(digest.source()))
                .forEach(digest -> all.add(digest.loads()));
        List<PeerLoad> merged = new ArrayList<>();
        byUpstream(all).forEach((upstream, loads) -> {
            Sum sum = Sum.of(loads);
            merged.add(new PeerLoad(upstream, sum.inFlight, sum.backlog, sum.longestMillis, sum.failures));
            if (sum.secondMillis > 0) {
                merged.add(new PeerLoad(upstream, 0, PrefillBacklog.EMPTY, sum.secondMillis, 0));
            }
        });
        return merged;
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
        changed |=
                digests.values().removeIf(digest -> nowMillis - digest.receivedMillis() > digest.source().expiryMillis);
    }

    private Map<Long, PeerTotal> sum() {
        Map<Long, PeerTotal> result = new HashMap<>();
        byUpstream(digests.values().stream().map(Digest::loads).toList()).forEach((upstream, loads) -> {
            Sum sum = Sum.of(loads);
            result.put(upstream, new PeerTotal(sum.inFlight, sum.backlog, sum.secondMillis, sum.failures));
        });
        return result;
    }

    private static Map<Long, List<PeerLoad>> byUpstream(List<List<PeerLoad>> all) {
        Map<Long, List<PeerLoad>> byUpstream = new HashMap<>();
        all.forEach(loads -> loads.forEach(load -> byUpstream
                .computeIfAbsent(load.upstream(), upstream -> new ArrayList<>())
                .add(load)));
        return byUpstream;
    }

    private static final class Sum {
        private int inFlight;
        private PrefillBacklog backlog = PrefillBacklog.EMPTY;
        private int longestMillis;
        private int secondMillis;
        private double failures;

        private static Sum of(List<PeerLoad> loads) {
            Sum sum = new Sum();
            for (PeerLoad load : loads) {
                sum.inFlight += load.inFlight();
                sum.backlog = sum.backlog.plus(load.backlog());
                sum.failures += load.failures();
                sum.secondMillis = Math.max(sum.secondMillis, Math.min(sum.longestMillis, load.silentMillis()));
                sum.longestMillis = Math.max(sum.longestMillis, load.silentMillis());
            }
            return sum;
        }
    }
}
