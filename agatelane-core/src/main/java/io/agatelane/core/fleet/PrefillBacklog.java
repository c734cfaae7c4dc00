package io.agatelane.core.fleet;

import java.util.ArrayList;
import java.util.List;

/** Expected prefill time, in milliseconds, of the requests queued at an engine, by priority. Immutable. */
public final class PrefillBacklog {
    /** Number of engine priorities: 0 (served first) to 9. */
    public static final int PRIORITIES = 10;

    /** A backlog without any queued work. */
    public static final PrefillBacklog EMPTY = new PrefillBacklog(new double[PRIORITIES]);

    private final double[] millis;

    private PrefillBacklog(double[] millis) {
        this.millis = millis;
    }

    /** Creates a backlog from milliseconds by priority; missing priorities count as 0. */
    public static PrefillBacklog of(List<? extends Number> millisByPriority) {
        if (millisByPriority.isEmpty()) {
            return EMPTY;
        }
        double[] millis = new double[PRIORITIES];
        for (int priority = 0; priority < Math.min(PRIORITIES, millisByPriority.size()); priority++) {
            millis[priority] = millisByPriority.get(priority).doubleValue();
        }
        return new PrefillBacklog(millis);
    }

    /** Returns a copy with work added to one priority; a negative amount removes work. */
    public PrefillBacklog with(int priority, double addedMillis) {
        double[] changed = millis.clone();
        changed[priority] = Math.max(0, changed[priority] + addedMillis);
        return new PrefillBacklog(changed);
    }

    /** Returns the sum of two backlogs. */
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

    /** Returns the difference of two backlogs, with no priority below 0. */
    public PrefillBacklog minus(PrefillBacklog subtracted) {
        double[] difference = millis.clone();
        for (int priority = 0; priority < PRIORITIES; priority++) {
            difference[priority] = Math.max(0, difference[priority] - subtracted.millis[priority]);
        }
        return new PrefillBacklog(difference);
    }

    /** Returns the backlog with all work multiplied by a factor. */
    public PrefillBacklog times(double factor) {
        double[] product = millis.clone();
        for (int priority = 0; priority < PRIORITIES; priority++) {
            product[priority] *= factor;
        }
        return new PrefillBacklog(product);
    }

    /** Milliseconds of work that is served before a new request of a priority. */
    public double millisAhead(int priority) {
        double sum = 0;
        for (int i = 0; i <= priority; i++) {
            sum += millis[i];
        }
        return sum;
    }

    /** Milliseconds of work of all priorities. */
    public double totalMillis() {
        return millisAhead(PRIORITIES - 1);
    }

    /** Returns whole milliseconds by priority, without trailing zeros. */
    public List<Integer> wholeMillisByPriority() {
        List<Integer> wholeMillis = new ArrayList<>();
        for (double value : millis) {
            wholeMillis.add((int) Math.round(value));
        }
        while (!wholeMillis.isEmpty() && wholeMillis.get(wholeMillis.size() - 1) == 0) {
            wholeMillis.remove(wholeMillis.size() - 1);
        }
        return wholeMillis;
    }
}
