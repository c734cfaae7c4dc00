package io.agatelane.lab.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Results of one workload class. */
public final class ClassStats {
    // The upper end of the histograms; longer times are recorded as this one.
    private static final long MAX_LATENCY_MICROS = 600_000_000;

    private final Histogram firstTokenMicros = new Histogram(MAX_LATENCY_MICROS, 3);
    private final Histogram totalMicros = new Histogram(MAX_LATENCY_MICROS, 3);
    private final Histogram refusalMicros = new Histogram(MAX_LATENCY_MICROS, 3);
    private final Map<String, Integer> refusals = new TreeMap<>();
    private final Map<String, Integer> failures = new TreeMap<>();
    private long sent;
    private long succeeded;
    private long promptTokens;
    private long cachedTokens;
    private long outputTokens;

    synchronized void recordSent() {
        sent++;
    }

    synchronized void recordSuccess(double firstTokenMillis, double totalMillis) {
        succeeded++;
        firstTokenMicros.recordValue(toMicros(firstTokenMillis));
        totalMicros.recordValue(toMicros(totalMillis));
    }

    synchronized void recordTokens(long promptCount, long cachedCount, long outputCount) {
        promptTokens += promptCount;
        cachedTokens += cachedCount;
        outputTokens += outputCount;
    }

    synchronized void recordRefusal(String type, double millis) {
        refusals.merge(type, 1, Integer::sum);
        refusalMicros.recordValue(toMicros(millis));
    }

    synchronized void recordFailure(String reason) {
        failures.merge(reason, 1, Integer::sum);
    }

    /** Returns a percentile (0 to 100) of the time to first token of the successful requests, in milliseconds. */
    public synchronized double firstTokenMillis(double percentile) {
        return firstTokenMicros.getValueAtPercentile(percentile) / 1_000.0;
    }

    /** Returns a percentile of the time until a successful response ended, in milliseconds. */
    public synchronized double totalMillis(double percentile) {
        return totalMicros.getValueAtPercentile(percentile) / 1_000.0;
    }

    /** Returns a percentile of the time until a refusal ended, in milliseconds. */
    public synchronized double refusalMillis(double percentile) {
        return refusalMicros.getValueAtPercentile(percentile) / 1_000.0;
    }

    /** Returns the number of successful requests whose first token arrived within the given time. */
    public synchronized long succeededWithin(double firstTokenMillis) {
        return firstTokenMicros.getCountBetweenValues(0, toMicros(firstTokenMillis));
    }

    public synchronized long sentCount() {
        return sent;
    }

    public synchronized long succeededCount() {
        return succeeded;
    }

    public synchronized long refusedCount() {
        return refusals.values().stream().mapToLong(Integer::longValue).sum();
    }

    public synchronized long failedCount() {
        return failures.values().stream().mapToLong(Integer::longValue).sum();
    }

    public synchronized long promptTokens() {
        return promptTokens;
    }

    public synchronized long cachedTokens() {
        return cachedTokens;
    }

    public synchronized long outputTokens() {
        return outputTokens;
    }

    public synchronized Map<String, Integer> refusals() {
        return Map.copyOf(refusals);
    }

    public synchronized Map<String, Integer> failures() {
        return Map.copyOf(failures);
    }

    private static long toMicros(double millis) {
        return Math.min(MAX_LATENCY_MICROS, Math.max(0, Math.round(millis * 1_000)));
    }
}
