package io.agatelane.core.fleet;

import java.util.ArrayList;
import java.util.List;

/** Prefill work that waits at an engine, by priority, in milliseconds. Immutable. */
public final class PrefillBacklog {
    /** Priorities of engines: 0 (first) to 9. */
    public static final int PRIORITIES = 10;

    /** Nothing waits. */
    public static final PrefillBacklog EMPTY = new PrefillBacklog(new double[PRIORITIES]);

    private final double[] millis;

    private PrefillBacklog(double[] millis) {
        this.millis = millis;
    }

    /** A backlog from its figures; missing ones are 0. */
    public static PrefillBacklog of(List<? extends Number> figures) {
        if (figures.isEmpty()) {
            return EMPTY;
        }
        double[] millis = new double[PRIORITIES];
        for (int priority = 0; priority < Math.min(PRIORITIES, figures.size()); priority++) {
            millis[priority] = figures.get(priority).doubleValue();
        }
        return new PrefillBacklog(millis);
    }

    /** Adds work of one priority; a negative amount takes it away. */
    public PrefillBacklog with(int priority, double addedMillis) {
        double[] changed = millis.clone();
        changed[priority] = Math.max(0, changed[priority] + addedMillis);
        return new PrefillBacklog(changed);
    }

    /** The sum of two backlogs. */
    public PrefillBacklog plus(PrefillBacklog other) {
        if (other == EMPTY) {
            return this;
        }
        double[] sum = millis.clone();
        for (int priority = 0; priority < PRIORITIES; priority++) {
            sum[priority] += other.millis[priority];
        }
        return new PrefillBacklog(sum);
    }

    /** This backlog without the part that another one is of it. */
    public PrefillBacklog minus(PrefillBacklog part) {
        double[] rest = millis.clone();
        for (int priority = 0; priority < PRIORITIES; priority++) {
            rest[priority] = Math.max(0, rest[priority] - part.millis[priority]);
        }
        return new PrefillBacklog(rest);
    }

    /** Work that runs before a new request of a priority. */
    public double before(int priority) {
        double sum = 0;
        for (int i = 0; i <= priority; i++) {
            sum += millis[i];
        }
        return sum;
    }

    /** All work. */
    public double total() {
        return before(PRIORITIES - 1);
    }

    /** The figures, whole milliseconds, without zeros at the end. */
    public List<Integer> figures() {
        List<Integer> figures = new ArrayList<>();
        for (double value : millis) {
            figures.add((int) Math.round(value));
        }
        while (!figures.isEmpty() && figures.get(figures.size() - 1) == 0) {
            figures.remove(figures.size() - 1);
        }
        return figures;
    }
}
