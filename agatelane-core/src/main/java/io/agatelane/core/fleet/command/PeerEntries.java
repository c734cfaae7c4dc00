package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.command.PeerLoads.Source;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BinaryOperator;

/**
 * Newest values that the other routers have sent for each key, summed over the routers. A key that a sender does not
 * repeat expires with the sender's source. Thread-safe.
 *
 * @param <K> what the values are about
 * @param <V> type of the values, immutable
 */
public final class PeerEntries<K, V> {
    private final BinaryOperator<V> sum;
    private final Map<String, Sender<K, V>> senders = new HashMap<>();

    private record Received<V>(V value, long sequence, long receivedMillis) {}

    private record Sender<K, V>(Source source, long incarnation, Map<K, Received<V>> entries) {}

    /** Creates an empty table whose values are added with a function. */
    public PeerEntries(BinaryOperator<V> sum) {
        this.sum = sum;
    }

    /** Stores the entries of one datagram, except for keys of which the sender has sent a newer value. */
    public synchronized void update(
            String vm, Source source, long incarnation, long sequence, Map<K, V> entries, long nowMillis) {
        Sender<K, V> known = senders.get(vm);
        if (known != null && known.incarnation() > incarnation) {
            return;
        }
        if (known == null || known.incarnation() < incarnation || known.source() != source) {
            known = new Sender<>(source, incarnation, new HashMap<>());
            senders.put(vm, known);
        }
        Map<K, Received<V>> stored = known.entries();
        entries.forEach((key, value) -> {
            Received<V> old = stored.get(key);
            if (old == null || old.sequence() <= sequence) {
                stored.put(key, new Received<>(value, sequence, nowMillis));
            }
        });
    }

    /** Removes the entries of a router that are now contained in those of another one. */
    public synchronized void remove(String vm) {
        senders.remove(vm);
    }

    /**
     * Returns the sums over the other routers, and a relay's own values.
     *
     * @param sources kinds of senders to include
     */
    public synchronized Map<K, V> sums(Set<Source> sources, Map<K, V> own, long nowMillis) {
        senders.values().forEach(sender -> sender.entries()
                .values()
                .removeIf(entry ->
                        nowMillis - entry.receivedMillis() > sender.source().expiryMillis()));
        senders.values().removeIf(sender -> sender.entries().isEmpty());
        Map<K, V> sums = new HashMap<>(own);
        senders.values().stream()
                .filter(sender -> sources.contains(sender.source()))
                .forEach(sender -> sender.entries().forEach((key, entry) -> sums.merge(key, entry.value(), sum)));
        return sums;
    }
}
