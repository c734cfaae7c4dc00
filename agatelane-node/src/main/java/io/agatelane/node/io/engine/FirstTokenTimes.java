package io.agatelane.node.io.engine;

import com.codahale.metrics.SlidingWindowReservoir;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Recent times to first token of short requests, by model. */
final class FirstTokenTimes {
    private static final int WINDOW_SAMPLES = 256;
    private static final int MIN_SAMPLES = 20;

    private final Map<String, SlidingWindowReservoir> windows = new ConcurrentHashMap<>();
    private volatile Map<String, Double> p95Millis = Map.of();

    void record(String model, long millis) {
        windows.computeIfAbsent(model, unused -> new SlidingWindowReservoir(WINDOW_SAMPLES))
                .update(millis);
    }

    /** Computes the percentiles that {@link #p95Millis} returns. */
    void refresh() {
        Map<String, Double> next = new ConcurrentHashMap<>();
        windows.forEach((model, window) -> {
            Snapshot snapshot = window.getSnapshot();
            if (snapshot.size() >= MIN_SAMPLES) {
                next.put(model, snapshot.get95thPercentile());
            }
        });
        p95Millis = next;
    }

    /** Returns the 95th percentile, or the given value while there are too few samples. */
    double p95Millis(String model, double fallbackMillis) {
        return p95Millis.getOrDefault(model, fallbackMillis);
    }
}
