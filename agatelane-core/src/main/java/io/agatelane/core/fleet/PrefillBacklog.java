package io.agatelane.core.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Prefill work that waits at an engine, by priority, in milliseconds. Immutable. */
public final class PrefillBacklog {
    /** Priorities of engines: 0 (first) to 9. */
    public static final int PRIORITIES = 10;

    /** Nothing waits. */
    public static final PrefillBacklog EMPTY = new PrefillBacklog(Collections.nCopies(PRIORITIES, 0.0));

    private final List<Double> millis;

    private PrefillBacklog(List<Double> millis) {
        this.millis = millis;
    }

    /** A backlog from its figures; missing ones are 0. */
    public static PrefillBacklog of(List<? extends Number> figures) {
        List<Double> millis = new ArrayList<>();
        for (int priority = 0; priority < PRIORITIES; priority++) {
            millis.add(priority < figures.size() ? figures.get(priority).doubleValue() : 0.0);
        }
        return new PrefillBacklog(List.copyOf(millis));
    }

    /** Adds work of one priority; a negative amount takes it away. */
    public PrefillBacklog with(int priority, double addedMillis) {
        List<Double> changed = new ArrayList<>(millis);
        changed.set(priority, Math.max(0, changed.get(priority) + addedMillis));
        return new PrefillBacklog(List.copyOf(changed));
    }

    /** The sum of two backlogs. */
    public PrefillBacklog plus(PrefillBacklog other) {
        List<Double> sum = new ArrayList<>();
        for (int priority = 0; priority < PRIORITIES; priority++) {
            sum.add(millis.get(priority) + other.millis.get(priority));
        }
        return new PrefillBacklog(List.copyOf(sum));
    }

    /** Work that runs before a new request of a priority. */
    public double before(int priority) {
        double sum = 0;
        for (int i = 0; i <= priority; i++) {
            sum += millis.get(i);
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
        millis.forEach(value -> figures.add((int) Math.round(value)));
        while (!figures.isEmpty() && figures.get(figures.size() - 1) == 0) {
            figures.remove(figures.size() - 1);
        }
        return figures;
    }
}
