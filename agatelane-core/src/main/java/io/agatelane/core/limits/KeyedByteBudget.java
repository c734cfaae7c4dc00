package io.agatelane.core.limits;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Limits the bytes that are in flight to each of several receivers, such as upstreams. Thread-safe.
 *
 * <p>A receiver that has nothing in flight may get any number of bytes, so that no request is too large for all of them.
 */
public final class KeyedByteBudget {
    private final long maxBytes;
    private final Map<String, Long> heldBytes = new HashMap<>();

    /** Creates a budget of which nothing is used. */
    public KeyedByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Counts bytes that are about to be sent to a receiver. Returns false, and counts nothing, without room for them. */
    public synchronized boolean tryTake(String key, long bytes) {
        if (!hasRoom(key, bytes)) {
            return false;
        }
        if (bytes > 0) {
            heldBytes.merge(key, bytes, Long::sum);
        }
        return true;
    }

    /** Gives back bytes of a request that has ended. */
    public synchronized void release(String key, long bytes) {
        heldBytes.computeIfPresent(key, (ignored, held) -> held > bytes ? held - bytes : null);
    }

    /** Returns some keys and those of the receivers that have no room for a request. */
    public synchronized Set<String> withFull(Set<String> keys, long bytes) {
        if (bytes == 0 || heldBytes.isEmpty()) {
            return keys;
        }
        Set<String> all = new HashSet<>(keys);
        heldBytes.keySet().stream().filter(key -> !hasRoom(key, bytes)).forEach(all::add);
        return all;
    }

    /** Largest number of bytes in flight to one receiver. */
    public synchronized long largestHeldBytes() {
        return heldBytes.values().stream().mapToLong(held -> held).max().orElse(0);
    }

    private boolean hasRoom(String key, long bytes) {
        long held = heldBytes.getOrDefault(key, 0L);
        return bytes == 0 || held == 0 || held + bytes <= maxBytes;
    }
}
