package io.agatelane.core.fleet.command;

import java.util.LinkedHashMap;
import java.util.Map;

/** Remembers which prompt parts were handled lately. Bounded and thread-safe. */
public final class RecentParts {
    private static final float LOAD_FACTOR = 0.75f;

    private final long memoryMillis;
    private final Map<String, Long> handledMillis;

    /**
     * Creates an empty memory.
     *
     * @param memoryMillis time after which a part counts as new again
     * @param capacity most parts to remember; the least recently used one goes first
     */
    public RecentParts(long memoryMillis, int capacity) {
        this.memoryMillis = memoryMillis;
        this.handledMillis = new LinkedHashMap<>(capacity, LOAD_FACTOR, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                return size() > capacity;
            }
        };
    }

    /** Records a part and tells whether it is new. */
    public synchronized boolean add(String part, long nowMillis) {
        Long last = handledMillis.get(part);
        if (last != null && nowMillis - last < memoryMillis) {
            return false;
        }
        handledMillis.put(part, nowMillis);
        return true;
    }
}
