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
 * Which router passes digests on in each availability zone: the first in an order that all routers compute alike. One
 * that falls silent is passed over by those that notice, without an agreement: a relay serves whoever asks it. Not
 * thread-safe.
 */
final class ZoneRelays {
    // Three packets in a row; one or two are lost now and then.
    private static final long SILENT_MILLIS = 700;
    // A relay that was silent is tried again after this time, which costs the silence once more.
    private static final long AVOIDED_MILLIS = 10_000;
    // Towards a zone whose relay is not known by its packets, the first ones in the order are told.
    private static final int GUESSES = 2;

    private final RouterEntry self;
    private final Map<String, Long> avoidedUntilMillis = new HashMap<>();
    private final Map<String, Heard> heardByZone = new HashMap<>();
    private Optional<RouterEntry> current = Optional.empty();
    private long heardMillis;

    private record Heard(RouterEntry relay, long millis) {}

    ZoneRelays(RouterEntry self) {
        this.self = self;
    }

    /** The relay of this router; may be the router itself. */
    RouterEntry relay(List<RouterEntry> others, long nowMillis) {
        avoidedUntilMillis.values().removeIf(until -> until <= nowMillis);
        boolean silent = current.isPresent() && !isSelf(current.get()) && nowMillis - heardMillis > SILENT_MILLIS;
        if (silent) {
            avoidedUntilMillis.put(current.get().vm(), nowMillis + AVOIDED_MILLIS);
        }
        RouterEntry chosen = ranked(self.zone(), others).stream()
                .filter(entry -> isSelf(entry) || !avoidedUntilMillis.containsKey(entry.vm()))
                .findFirst()
                .orElse(self);
        if (!current.equals(Optional.of(chosen))) {
            current = Optional.of(chosen);
            heardMillis = nowMillis;
        }
        return chosen;
    }

    /** Whether this router is its own relay, as last chosen. */
    boolean isRelay() {
        return current.filter(this::isSelf).isPresent();
    }

    /** Records a packet of a relay; false when it is not the relay of this router. */
    boolean heard(String vm, long nowMillis) {
        boolean own = current.filter(relay -> relay.vm().equals(vm)).isPresent();
        if (own) {
            heardMillis = nowMillis;
        }
        return own;
    }

    /** Records a packet of the relay of another zone. */
    void heardOther(RouterEntry relay, long nowMillis) {
        heardByZone.put(relay.zone(), new Heard(relay, nowMillis));
    }

    /** Relays of the other zones. */
    List<RouterEntry> others(List<RouterEntry> others, long nowMillis) {
        Map<String, List<RouterEntry>> byZone = others.stream()
                .filter(entry -> !entry.zone().equals(self.zone()))
                .collect(Collectors.groupingBy(RouterEntry::zone));
        List<RouterEntry> relays = new ArrayList<>();
        byZone.keySet().forEach(zone -> {
            Heard heard = heardByZone.get(zone);
            if (heard != null && nowMillis - heard.millis() <= SILENT_MILLIS) {
                relays.add(heard.relay());
            } else {
                ranked(zone, others).stream().limit(GUESSES).forEach(relays::add);
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
