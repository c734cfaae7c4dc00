package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.PeerTotal;
import io.agatelane.core.fleet.PrefillBacklog;
import io.agatelane.core.fleet.UpstreamPace;
import io.agatelane.core.fleet.UpstreamRange;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Newest load digests of the other routers, summed per upstream. Thread-safe. */
public final class PeerLoads {
    // A router without a digest for this long has stopped or is cut off; its last loads no longer mean anything.
    private static final long ROUTER_EXPIRY_MILLIS = 3_000;
    // Time for a few packets; a relay that has sent nothing for longer is replaced by the routers that it represents.
    private static final long RELAY_EXPIRY_MILLIS = 700;
    // Minimum time between two summations; digests are older than that anyway.
    private static final long REFRESH_MILLIS = 40;
    // Half-life of the mean load: longer than reports are old, so that routers do not all follow a difference between
    // upstreams that has ended by then.
    private static final double MEAN_HALF_LIFE_MILLIS = 1_000;
    // Time after which half of the prefill in a report is done.
    private static final double WORK_HALF_LIFE_MILLIS = 200;
    // A mean that has decayed below this is forgotten.
    private static final double MIN_MEAN_IN_FLIGHT = 0.001;

    private final Map<String, Digest> digests = new HashMap<>();
    private Map<Long, PeerTotal> totals = Map.of();
    private final Map<Long, PeerTotal.Mean> means = new HashMap<>();
    private long lastSumMillis = Long.MIN_VALUE;
    private double freshness = 1;
    private boolean changed;

    /** The routers whose load a digest contains. */
    public enum Source {
        /** One router. */
        ROUTER(ROUTER_EXPIRY_MILLIS),
        /**
         * The sum over several routers, made by a relay. When another relay takes over, the digests of both contain the
         * same routers for a while.
         */
        RELAY(RELAY_EXPIRY_MILLIS);

        private final long expiryMillis;

        Source(long expiryMillis) {
            this.expiryMillis = expiryMillis;
        }

        /** Age at which what such a sender has sent no longer counts. */
        long expiryMillis() {
            return expiryMillis;
        }
    }

    /**
     * Loads of the upstreams of a range, from one datagram.
     *
     * @param sequence increases with each digest of the sender
     * @param sentAgeMillis age of the loads when they were sent; 0 for the sender's own
     */
    public record Part(long sequence, UpstreamRange range, long sentAgeMillis, List<PeerLoad> loads) {
        public Part {
            loads = List.copyOf(loads);
        }

        /** A digest that was sent in one datagram and contains the sender's own loads. */
        public static Part whole(long sequence, List<PeerLoad> loads) {
            return new Part(sequence, UpstreamRange.ALL, 0, loads);
        }

        private Part within(UpstreamRange newRange) {
            return new Part(
                    sequence,
                    newRange,
                    sentAgeMillis,
                    loads.stream()
                            .filter(load -> newRange.contains(load.upstream()))
                            .toList());
        }
    }

    private record ReceivedPart(Part part, long receivedMillis) {
        private List<ReceivedPart> without(UpstreamRange range) {
            return part.range().minus(range).stream()
                    .map(remaining -> new ReceivedPart(part.within(remaining), receivedMillis))
                    .toList();
        }

        private long ageMillis(long nowMillis) {
            return nowMillis - receivedMillis + part.sentAgeMillis();
        }
    }

    // The ranges of the parts do not overlap.
    private record Digest(Source source, long incarnation, List<ReceivedPart> parts) {
        private List<PeerLoad> loads(long nowMillis) {
            return parts.stream()
                    .flatMap(received -> received.part().loads().stream()
                            .map(load -> load.olderBy(Math.max(0, nowMillis - received.receivedMillis()))))
                    .toList();
        }
    }

    /** Stores a digest of one router unless a newer one of the same router is present. */
    public void update(String vm, long incarnation, long sequence, List<PeerLoad> loads, long nowMillis) {
        update(vm, Source.ROUTER, incarnation, Part.whole(sequence, loads), nowMillis);
    }

    /** Stores a part of a digest, except for upstreams of which a newer part of the same sender is present. */
    public synchronized void update(String vm, Source source, long incarnation, Part part, long nowMillis) {
        Digest known = digests.get(vm);
        if (known != null && known.incarnation() > incarnation) {
            return;
        }
        boolean sameStart = known != null && known.incarnation() == incarnation && known.source() == source;
        List<ReceivedPart> merged = new ArrayList<>();
        List<ReceivedPart> added = List.of(new ReceivedPart(part, nowMillis));
        for (ReceivedPart old : sameStart ? known.parts() : List.<ReceivedPart>of()) {
            if (old.part().sequence() > part.sequence()) {
                merged.add(old);
                added = added.stream()
                        .flatMap(piece -> piece.without(old.part().range()).stream())
                        .toList();
            } else {
                merged.addAll(old.without(part.range()));
            }
        }
        merged.addAll(added);
        digests.put(vm, new Digest(source, incarnation, List.copyOf(merged)));
        changed = true;
    }

    /** Mean age of the loads that the other routers have sent; 0 when there are none. */
    public synchronized long meanAgeMillis(Set<Source> sources, long nowMillis) {
        expire(nowMillis);
        return Math.round(digests.values().stream()
                .filter(digest -> sources.contains(digest.source()))
                .flatMap(digest -> digest.parts().stream())
                .mapToLong(received -> received.ageMillis(nowMillis))
                .average()
                .orElse(0));
    }

    /** Removes the digest of a router whose requests are now contained in the digest of another one. */
    public synchronized void remove(String vm) {
        changed |= digests.remove(vm) != null;
    }

    /**
     * Returns the loads that a relay forwards: for each upstream the sum, and a second entry without load that holds
     * the second longest unanswered time, so that receivers still see whether two routers observe an unresponsive
     * upstream.
     *
     * @param sources kinds of digests to include
     * @param own loads of this router's own requests
     */
    public synchronized List<PeerLoad> sumForRelay(Set<Source> sources, List<PeerLoad> own, long nowMillis) {
        expire(nowMillis);
        List<List<PeerLoad>> all = new ArrayList<>();
        all.add(own);
        digests.values().stream()
                .filter(digest -> sources.contains(digest.source()))
                .forEach(digest -> all.add(digest.loads(nowMillis)));
        List<PeerLoad> merged = new ArrayList<>();
        byUpstream(all).forEach((upstream, loads) -> {
            Sum sum = Sum.of(loads);
            merged.add(new PeerLoad(
                    upstream,
                    sum.inFlight,
                    sum.backlog,
                    sum.longestUnansweredMillis,
                    sum.failures,
                    sum.memoryTokens,
                    sum.remainingMillis,
                    sum.pace));
            if (sum.secondLongestUnansweredMillis > 0) {
                merged.add(new PeerLoad(upstream, 0, PrefillBacklog.EMPTY, sum.secondLongestUnansweredMillis, 0, 0));
            }
        });
        return merged;
    }

    /** Returns the sum over all other routers for an upstream, at most 40 ms old. */
    public synchronized PeerTotal total(long upstream, long nowMillis) {
        refresh(nowMillis);
        return totals.getOrDefault(upstream, PeerTotal.NONE);
    }

    /**
     * Returns the load that an upstream is expected to have now. The older the reports are, the less of what was in
     * flight then still is, and the more the mean over the last seconds counts.
     */
    public synchronized PeerTotal expected(long upstream, long nowMillis) {
        PeerTotal total = total(upstream, nowMillis);
        return total.towards(means.getOrDefault(upstream, PeerTotal.Mean.NONE), freshness);
    }

    private void refresh(long nowMillis) {
        if (lastSumMillis != Long.MIN_VALUE && nowMillis - lastSumMillis < REFRESH_MILLIS) {
            return;
        }
        expire(nowMillis);
        if (changed) {
            totals = sum(nowMillis);
            changed = false;
        }
        double share = lastSumMillis == Long.MIN_VALUE
                ? 1
                : 1 - Math.pow(0.5, (nowMillis - lastSumMillis) / MEAN_HALF_LIFE_MILLIS);
        totals.keySet().forEach(upstream -> means.putIfAbsent(upstream, PeerTotal.Mean.NONE));
        means.replaceAll((upstream, mean) -> mean.with(totals.getOrDefault(upstream, PeerTotal.NONE), share));
        means.values().removeIf(mean -> mean.inFlight() < MIN_MEAN_IN_FLIGHT);
        freshness = Math.pow(0.5, meanAgeMillis(EnumSet.allOf(Source.class), nowMillis) / WORK_HALF_LIFE_MILLIS);
        lastSumMillis = nowMillis;
    }

    private void expire(long nowMillis) {
        for (Map.Entry<String, Digest> entry : digests.entrySet()) {
            Digest digest = entry.getValue();
            List<ReceivedPart> recent = digest.parts().stream()
                    .filter(received -> nowMillis - received.receivedMillis()
                            <= digest.source().expiryMillis())
                    .toList();
            if (recent.size() < digest.parts().size()) {
                entry.setValue(new Digest(digest.source(), digest.incarnation(), recent));
                changed = true;
            }
        }
        digests.values().removeIf(digest -> digest.parts().isEmpty());
    }

    private Map<Long, PeerTotal> sum(long nowMillis) {
        Map<Long, PeerTotal> result = new HashMap<>();
        byUpstream(digests.values().stream()
                        .map(digest -> digest.loads(nowMillis))
                        .toList())
                .forEach((upstream, loads) -> {
                    Sum sum = Sum.of(loads);
                    result.put(
                            upstream,
                            new PeerTotal(
                                    sum.inFlight,
                                    sum.backlog,
                                    sum.secondLongestUnansweredMillis,
                                    sum.failures,
                                    sum.memoryTokens,
                                    sum.remainingMillis,
                                    sum.pace));
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
        private int longestUnansweredMillis;
        private int secondLongestUnansweredMillis;
        private double failures;
        private long memoryTokens;
        private double remainingMillis;
        private UpstreamPace pace = UpstreamPace.UNKNOWN;

        private static Sum of(List<PeerLoad> loads) {
            Sum sum = new Sum();
            for (PeerLoad load : loads) {
                sum.inFlight += load.inFlight();
                sum.backlog = sum.backlog.plus(load.backlog());
                sum.failures += load.failures();
                sum.memoryTokens += load.memoryTokens();
                sum.remainingMillis += load.remainingMillis();
                sum.pace = sum.pace.plus(load.pace());
                sum.secondLongestUnansweredMillis = Math.max(
                        sum.secondLongestUnansweredMillis,
                        Math.min(sum.longestUnansweredMillis, load.oldestUnansweredMillis()));
                sum.longestUnansweredMillis = Math.max(sum.longestUnansweredMillis, load.oldestUnansweredMillis());
            }
            return sum;
        }
    }
}
