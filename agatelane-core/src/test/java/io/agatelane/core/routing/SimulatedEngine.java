package io.agatelane.core.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Queueing model of one engine, with slots, a prefix cache with least-recently-used eviction, and delayed reports. */
final class SimulatedEngine {
    static final double PREFILL_TOKENS_PER_SECOND = 10_000;
    static final double TOKEN_MILLIS = 10;
    private static final int SLOTS = 4;

    final UpstreamState state;
    private final double[] slotFreeMillis = new double[SLOTS];
    private final LinkedHashMap<Long, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final int cacheTokens;
    private int usedTokens;
    private double slowdown = 1;
    private final List<Double> endsMillis = new ArrayList<>();
    private final List<Measurement> measurements = new ArrayList<>();

    private record Measurement(double millis, int requests) {}

    SimulatedEngine(String name, int cacheTokens) {
        this.cacheTokens = cacheTokens;
        state = new UpstreamState(name, "zone-a", 0.5);
        state.setReachable(true);
        report(0, 0);
    }

    /** Result of one simulated request. */
    record Run(double firstTokenMillis, double endMillis, int cachedTokens, int computedTokens) {}

    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** Measures the load and reports the measurement that is older by the lag. */
    void report(double nowMillis, double lagMillis) {
        endsMillis.removeIf(end -> end <= nowMillis);
        measurements.add(new Measurement(nowMillis, endsMillis.size()));
        while (measurements.size() > 1 && measurements.get(1).millis() <= nowMillis - lagMillis) {
            measurements.remove(0);
        }
        Measurement reported = measurements.get(0);
        state.setReport(new LoadReport(
                "1",
                "m",
                "v1",
                false,
                SLOTS,
                Math.min(reported.requests(), SLOTS),
                Math.max(0, reported.requests() - SLOTS),
                PREFILL_TOKENS_PER_SECOND,
                TOKEN_MILLIS,
                (long) reported.millis()));
    }

    int cachedTokens(RequestProfile request) {
        for (int level = request.levelCount() - 1; level >= 0; level--) {
            if (cache.containsKey(request.digest(level))) {
                return request.tokensAt(level);
            }
        }
        return 0;
    }

    double waitMillis(double nowMillis) {
        return Math.max(0, Arrays.stream(slotFreeMillis).min().orElse(0) - nowMillis);
    }

    Run run(RequestProfile request, int outputTokens, double nowMillis) {
        int cached = cachedTokens(request);
        int computed = request.promptTokens() - cached;
        int slot = 0;
        for (int i = 1; i < SLOTS; i++) {
            slot = slotFreeMillis[i] < slotFreeMillis[slot] ? i : slot;
        }
        double start = Math.max(nowMillis, slotFreeMillis[slot]);
        double first = start + slowdown * computed * 1_000.0 / PREFILL_TOKENS_PER_SECOND;
        double end = first + slowdown * outputTokens * TOKEN_MILLIS;
        slotFreeMillis[slot] = end;
        endsMillis.add(end);
        addToCache(request);
        return new Run(first - nowMillis, end, cached, computed);
    }

    private void addToCache(RequestProfile request) {
        int previous = 0;
        for (int level = 0; level < request.levelCount(); level++) {
            int tokens = request.tokensAt(level) - previous;
            previous = request.tokensAt(level);
            if (cache.put(request.digest(level), tokens) == null) {
                usedTokens += tokens;
            }
        }
        var oldest = cache.entrySet().iterator();
        while (usedTokens > cacheTokens && oldest.hasNext()) {
            Map.Entry<Long, Integer> entry = oldest.next();
            usedTokens -= entry.getValue();
            oldest.remove();
        }
    }
}
