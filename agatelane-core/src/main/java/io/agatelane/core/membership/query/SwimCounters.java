package io.agatelane.core.membership.query;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Counter values of one protocol instance; written by its thread, readable on every thread. */
public final class SwimCounters {
    private final Map<SwimCounter, AtomicLong> values = new EnumMap<>(SwimCounter.class);

    public SwimCounters() {
        for (SwimCounter counter : SwimCounter.values()) {
            values.put(counter, new AtomicLong());
        }
    }

    public long get(SwimCounter counter) {
        return values.get(counter).get();
    }

    public void add(SwimCounter counter, long amount) {
        values.get(counter).addAndGet(amount);
    }
}
