package io.agatelane.node.fleet;

import io.agatelane.core.fleet.FleetUpstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Adds to the upstreams that a read of the store lists what the store has lost. Not thread-safe.
 *
 * <p>Entries can be missing for some time after an outage of the store, and after the store went back to an older copy.
 * The copy can also list upstreams that have left since it was made; upstreams that this router saw leave are not used
 * again because of it.
 */
final class KnownUpstreams {
    /** Time within which upstreams write their entries again after the store went back. */
    static final long REWRITE_MILLIS = 5_000;
    /** How much older than the present a copy may be, and for how long an upstream that it lists wrongly may stay. */
    static final long COPY_AGE_MILLIS = 20_000;

    private final Map<String, Departure> departures = new HashMap<>();
    private final Map<String, Long> barredUntilMillis = new HashMap<>();
    private Map<String, FleetUpstream> listed = Map.of();
    private Map<String, FleetUpstream> awaited = Map.of();
    private long eraStartedMillis;

    /**
     * An upstream that was seen to leave.
     *
     * @param isFinal whether this incarnation cannot come back; one that only vanished from the list may be back
     */
    private record Departure(long seenMillis, boolean isFinal) {}

    /** Records that the store went back to an older copy. Must be called before the first read of the new era. */
    void startEra(List<FleetUpstream> known, long nowMillis) {
        eraStartedMillis = nowMillis;
        awaited = known.stream()
                .filter(upstream -> !upstream.draining())
                .collect(Collectors.toMap(FleetUpstream::key, upstream -> upstream, (first, second) -> first));
        departures.forEach((key, departure) ->
                barredUntilMillis.put(key, departure.isFinal() ? Long.MAX_VALUE : nowMillis + COPY_AGE_MILLIS));
        // An entry that the copy lacks has not been removed.
        listed = Map.of();
    }

    /**
     * Returns the upstreams to use after a read.
     *
     * @param read what the store lists
     * @param missing upstreams that are kept although the store does not list them, because it has just been down
     */
    List<FleetUpstream> merge(List<FleetUpstream> read, List<FleetUpstream> missing, long nowMillis) {
        Map<String, FleetUpstream> present = new HashMap<>();
        read.forEach(upstream -> present.put(upstream.key(), upstream));
        recordDepartures(present, nowMillis);
        listed = present;
        barredUntilMillis.values().removeIf(until -> until <= nowMillis);
        awaited = nowMillis - eraStartedMillis >= REWRITE_MILLIS
                ? Map.of()
                : awaited.entrySet().stream()
                        .filter(entry -> !present.containsKey(entry.getKey()))
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        List<FleetUpstream> all = new ArrayList<>();
        read.forEach(
                upstream -> all.add(barredUntilMillis.containsKey(upstream.key()) ? upstream.asDraining() : upstream));
        Set<String> ids = read.stream().map(FleetUpstream::id).collect(Collectors.toCollection(HashSet::new));
        Set<String> addresses = read.stream().map(FleetUpstream::address).collect(Collectors.toSet());
        addMissing(missing, ids, addresses, all);
        addMissing(List.copyOf(awaited.values()), ids, addresses, all);
        return all;
    }

    private static void addMissing(
            List<FleetUpstream> missing, Set<String> ids, Set<String> addresses, List<FleetUpstream> all) {
        missing.stream()
                .filter(known -> !known.draining() && !addresses.contains(known.address()) && ids.add(known.id()))
                .forEach(all::add);
    }

    private void recordDepartures(Map<String, FleetUpstream> present, long nowMillis) {
        listed.keySet().stream()
                .filter(key -> !present.containsKey(key) && !barredUntilMillis.containsKey(key))
                .forEach(key -> departures.merge(
                        key,
                        new Departure(nowMillis, false),
                        (known, vanished) -> new Departure(nowMillis, known.isFinal())));
        present.values().forEach(upstream -> {
            // Without a start time the key also stands for later incarnations.
            if (upstream.draining()) {
                departures.put(upstream.key(), new Departure(nowMillis, upstream.incarnation() > 0));
            } else if (!barredUntilMillis.containsKey(upstream.key())) {
                departures.remove(upstream.key());
            }
        });
        departures.values().removeIf(departure -> nowMillis - departure.seenMillis() > COPY_AGE_MILLIS);
        // Once the entry of the copy is gone, only the upstream itself can write it again.
        barredUntilMillis
                .entrySet()
                .removeIf(barred -> !present.containsKey(barred.getKey())
                        && (barred.getValue() < Long.MAX_VALUE || !departures.containsKey(barred.getKey())));
    }
}
