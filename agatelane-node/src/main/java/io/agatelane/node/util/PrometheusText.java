package io.agatelane.node.util;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Writes a metric registry in the text format of Prometheus (version 0.0.4). */
public final class PrometheusText {
    /** Media type of the format. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private PrometheusText() {}

    /** Returns all metrics in name order. Timers are reported in seconds. */
    public static String format(MetricRegistry registry) {
        StringBuilder out = new StringBuilder(4096);
        for (Map.Entry<String, Metric> entry : new TreeMap<>(registry.getMetrics()).entrySet()) {
            append(out, sanitize(entry.getKey()), entry.getValue());
        }
        return out.toString();
    }

    private static void append(StringBuilder out, String name, Metric metric) {
        if (metric instanceof Gauge<?> gauge) {
            if (gauge.getValue() instanceof Number number) {
                appendType(out, name, "gauge");
                appendSample(out, name, "", number.doubleValue());
            }
        } else if (metric instanceof Sampling sampling && metric instanceof Counting counting) {
            double unit = metric instanceof Timer ? NANOS_PER_SECOND : 1;
            appendType(out, name, "summary");
            Snapshot snapshot = sampling.getSnapshot();
            appendSample(out, name, "{quantile=\"0.5\"}", snapshot.getMedian() / unit);
            appendSample(out, name, "{quantile=\"0.95\"}", snapshot.get95thPercentile() / unit);
            appendSample(out, name, "{quantile=\"0.99\"}", snapshot.get99thPercentile() / unit);
            appendSample(out, name + "_count", "", (double) counting.getCount());
        } else if (metric instanceof Counter counter) {
            // Dropwizard counters may decrease, so they are gauges unless their name ends with _total.
            appendType(out, name, name.endsWith("_total") ? "counter" : "gauge");
            appendSample(out, name, "", (double) counter.getCount());
        } else if (metric instanceof Counting counting) {
            appendType(out, name + "_total", "counter");
            appendSample(out, name + "_total", "", (double) counting.getCount());
        }
    }

    private static void appendType(StringBuilder out, String name, String type) {
        out.append("# TYPE ").append(name).append(' ').append(type).append('\n');
    }

    private static void appendSample(StringBuilder out, String name, String labels, double value) {
        out.append(name).append(labels).append(' ');
        if (value == Math.rint(value) && Math.abs(value) < 1e15) {
            out.append((long) value);
        } else {
            out.append(value);
        }
        out.append('\n');
    }

    private static String sanitize(String name) {
        StringBuilder out = new StringBuilder(name.length());
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            boolean letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == ':';
            boolean digit = c >= '0' && c <= '9';
            out.append(letter || (digit && i > 0) ? c : '_');
        }
        return out.toString();
    }
}
