package io.agatelane.node.fleet;

import io.agatelane.core.hash.Rendezvous;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Selects the router that relays digests in each availability zone: the first in an order that all routers compute
 * alike. Routers that receive nothing more from a relay skip it, each on its own: no agreement is needed because a
 * relay serves every router that sends to it. Not thread-safe.
 */
final class ZoneRelays {
    // Three lost packets in a row; one or two are lost occasionally.
    private static final long UNRESPONSIVE_MILLIS = 700;
    // An unresponsive relay is tried again after this time, which may cost the unresponsive time once more.
    private static final long AVOIDED_MILLIS = 10_000;
    // For a zone from whose relay no recent packet has arrived, digests go to the first routers in the order.
    private static final int ASSUMED_RELAYS = 2;

    private final RouterEntry self;
    private final Map<String, Long> avoidedUntilMillis = new HashMap<>();
    private final Map<RouterEntry, Long> receivedMillisByRelay = new HashMap<>();
    private Optional<RouterEntry> current = Optional.empty();
    private long lastReceivedMillis;

    ZoneRelays(RouterEntry self) {
        this.self = self;
    }

    /** Selects the relay of this router, which may be the router itself. */
    RouterEntry selectRelay(List<RouterEntry> others, long nowMillis) {
        avoidedUntilMillis.values().removeIf(until -> until <= nowMillis);
        boolean unresponsive =
                current.isPresent() && !isSelf(current.get()) && nowMillis - lastReceivedMillis > UNRESPONSIVE_MILLIS;
        if (unresponsive) {
            avoidedUntilMillis.put(current.get().vm(), nowMillis + AVOIDED_MILLIS);
        }
        RouterEntry chosen = ranked(self.zone(), others).stream()
                .filter(entry -> isSelf(entry) || !avoidedUntilMillis.containsKey(entry.vm()))
                .findFirst()
                .orElse(self);
        if (!current.equals(Optional.of(chosen))) {
            current = Optional.of(chosen);
            lastReceivedMillis = nowMillis;
        }
        return chosen;
    }

    /** Whether this router is its own relay, as last selected. */
    boolean isRelay() {
        return current.filter(this::isSelf).isPresent();
    }

    /** Records a packet of a relay; false when it is not the relay of this router. */
    boolean receivedFrom(String vm, long nowMillis) {
        boolean own = current.filter(relay -> relay.vm().equals(vm)).isPresent();
        if (own) {
            lastReceivedMillis = nowMillis;
        }
        return own;
    }

    /** Records a packet of the relay of another zone. */
    void receivedFromOtherZone(RouterEntry relay, long nowMillis) {
        receivedMillisByRelay.put(relay, nowMillis);
    }

    /** Relays of the other zones. A zone has several while some of its routers avoid the first one. */
    List<RouterEntry> otherZoneRelays(List<RouterEntry> others, long nowMillis) {
        receivedMillisByRelay.values().removeIf(received -> nowMillis - received > UNRESPONSIVE_MILLIS);
        Map<String, List<RouterEntry>> byZone = others.stream()
                .filter(entry -> !entry.zone().equals(self.zone()))
                .collect(Collectors.groupingBy(RouterEntry::zone));
        List<RouterEntry> relays = new ArrayList<>();
        byZone.keySet().forEach(zone -> {
            List<RouterEntry> active = receivedMillisByRelay.keySet().stream()
                    .filter(relay -> relay.zone().equals(zone))
                    .toList();
            if (active.isEmpty()) {
                ranked(zone, others).stream().limit(ASSUMED_RELAYS).forEach(relays::add);
            } else {
                relays.addAll(active);
            }
        });
        return relays;
    }

    private List<RouterEntry> ranked(String zone, List<RouterEntry> others) {
        List<RouterEntry> inZone = new ArrayList<>(
                others.stream().filter(entry -> entry.zone().equals(zone)).toList());
        if (zone.equals(self.zone())) {
            inZone.add(self);
        }
        long zoneHash = Rendezvous.hash(zone);
        inZone.sort(Comparator.comparingLong(entry -> Rendezvous.weight(zoneHash, Rendezvous.hash(entry.vm()))));
        return inZone;
    }

    private boolean isSelf(RouterEntry entry) {
        return entry.vm().equals(self.vm());
    }
}
