package io.agatelane.lab.load;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Results of a run by workload class. */
public final class WorkloadReport {
    private final Map<String, ClassStats> classes = new LinkedHashMap<>();
    private final Map<Integer, Integer> succeededByAccount = new TreeMap<>();

    private double lastResponseEndMillis;

    WorkloadReport(Workload workload) {
        workload.classes().forEach(workloadClass -> classes.put(workloadClass.name(), new ClassStats()));
    }

    synchronized void recordSuccess(int account) {
        succeededByAccount.merge(account, 1, Integer::sum);
    }

    /** Successful requests by the index of their client account. */
    public synchronized Map<Integer, Integer> succeededByAccount() {
        return Map.copyOf(succeededByAccount);
    }

    synchronized void recordResponseEnd(double millis) {
        lastResponseEndMillis = Math.max(lastResponseEndMillis, millis);
    }

    /** Time from the start of the run to the end of the last response. */
    public synchronized double lastResponseEndMillis() {
        return lastResponseEndMillis;
    }

    /** Returns the results of one class; null when the workload has no such class. */
    public ClassStats statsOf(String className) {
        return classes.get(className);
    }

    public Map<String, ClassStats> classes() {
        return classes;
    }

    /** Cached prompt tokens divided by all prompt tokens, over all classes. */
    public double hitRate() {
        long prompt =
                classes.values().stream().mapToLong(ClassStats::promptTokens).sum();
        long cached =
                classes.values().stream().mapToLong(ClassStats::cachedTokens).sum();
        return prompt == 0 ? 0 : (double) cached / prompt;
    }

    public long failedCount() {
        return classes.values().stream().mapToLong(ClassStats::failedCount).sum();
    }

    /** Formats the report as a table, with the reasons of refusals and failures by class below it. */
    public String toTable() {
        StringBuilder table = new StringBuilder();
        table.append(String.format(
                Locale.ROOT,
                "%-16s %6s %6s %7s %6s | %9s %9s %9s | %9s %9s | %9s %9s %8s%n",
                "class",
                "sent",
                "ok",
                "refused",
                "failed",
                "first p50",
                "p95",
                "p99",
                "total p50",
                "p99",
                "prompt",
                "cached",
                "output"));
        classes.forEach((name, stats) -> table.append(row(name, stats)));
        classes.forEach((name, stats) -> {
            if (stats.refusedCount() + stats.failedCount() > 0) {
                table.append(name)
                        .append(" refusals ")
                        .append(stats.refusals())
                        .append(" failures ")
                        .append(stats.failures())
                        .append(System.lineSeparator());
            }
        });
        return table.toString();
    }

    private static String row(String name, ClassStats stats) {
        return String.format(
                Locale.ROOT,
                "%-16s %6d %6d %7d %6d | %9.1f %9.1f %9.1f | %9.1f %9.1f | %9d %9d %8d%n",
                name,
                stats.sentCount(),
                stats.succeededCount(),
                stats.refusedCount(),
                stats.failedCount(),
                stats.firstTokenMillis(50),
                stats.firstTokenMillis(95),
                stats.firstTokenMillis(99),
                stats.totalMillis(50),
                stats.totalMillis(99),
                stats.promptTokens(),
                stats.cachedTokens(),
                stats.outputTokens());
    }
}
