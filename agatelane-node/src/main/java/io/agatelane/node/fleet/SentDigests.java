package io.agatelane.node.fleet;

import io.agatelane.core.fleet.ClockReading;
import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.PlacementIndex.Placement;
import io.agatelane.core.fleet.ServiceDemand;
import io.agatelane.core.limits.AccountDemand;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The digests that this router has sent to its relay: when, because that dates what the relay's response verifies, and
 * which loads and placements, because the response includes them. Not thread-safe.
 */
final class SentDigests {
    // Some seconds of digests; a later response verifies a time that is too old to be useful.
    private static final int MAX_SEND_TIMES = 32;
    // Placements in flight; one that drops out and is counted twice makes a part look only a little older.
    private static final int MAX_PLACEMENTS = 512;

    private final Map<Long, ClockReading> sendTimes = bounded(MAX_SEND_TIMES);
    private final Map<Placement, Boolean> placements = bounded(MAX_PLACEMENTS);
    private Map<Long, PeerLoad> loads = Map.of();
    private final Map<Long, Demands> demands = bounded(MAX_SEND_TIMES);
    private Demands answered = new Demands(Map.of(), Map.of());

    private record Demands(Map<Long, AccountDemand> accounts, Map<ServiceDemand.Key, ServiceDemand> services) {}

    void recordSent(long sequence, ClockReading sentAt, DigestContent content) {
        sendTimes.put(sequence, sentAt);
        Map<Long, PeerLoad> byUpstream = new HashMap<>();
        content.loads().forEach(load -> byUpstream.put(load.upstream(), load));
        loads = byUpstream;
        demands.put(
                sequence,
                new Demands(
                        content.accounts().stream()
                                .collect(Collectors.toMap(AccountDemand::account, Function.identity())),
                        content.services().stream()
                                .collect(Collectors.toMap(ServiceDemand::key, Function.identity()))));
        content.events().placements().forEach(placement -> placements.put(placement, true));
    }

    /**
     * Records which digest the relay responds to. Its sums contain the demands of this digest: a later one would leave
     * a difference that looks like demand at other routers.
     */
    void recordAnswered(long sequence) {
        answered = demands.getOrDefault(sequence, answered);
    }

    /** When a digest was sent; empty when it is unknown or long ago. */
    Optional<ClockReading> sentAt(long sequence) {
        return Optional.ofNullable(sendTimes.get(sequence));
    }

    /** The loads that a relay has forwarded, without this router's own part. */
    List<PeerLoad> withoutOwn(List<PeerLoad> relayed) {
        Map<Long, PeerLoad> remaining = new HashMap<>(loads);
        return relayed.stream()
                .map(load -> Optional.ofNullable(remaining.remove(load.upstream()))
                        .map(load::minus)
                        .orElse(load))
                .toList();
    }

    /** The demands of accounts that a relay has forwarded, without this router's own part. */
    Map<Long, AccountDemand> accountsWithoutOwn(Map<Long, AccountDemand> relayed) {
        return without(relayed, answered.accounts(), AccountDemand::minus);
    }

    /** The demands for services that a relay has forwarded, without this router's own part. */
    Map<ServiceDemand.Key, ServiceDemand> servicesWithoutOwn(Map<ServiceDemand.Key, ServiceDemand> relayed) {
        return without(relayed, answered.services(), ServiceDemand::minus);
    }

    private static <K, V> Map<K, V> without(Map<K, V> relayed, Map<K, V> own, BinaryOperator<V> minus) {
        Map<K, V> remaining = new HashMap<>(relayed);
        own.forEach((key, value) ->
                remaining.computeIfPresent(key, (unused, relayedValue) -> minus.apply(relayedValue, value)));
        return remaining;
    }

    /** Whether a placement is another router's; one of this router's own that has come back is forgotten. */
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
