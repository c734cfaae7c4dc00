package io.agatelane.lab.load;

/** A time span, counted from the start of the run, in which the arrival rate is a multiple of the base rate. */
public record RateStep(long fromMillis, long toMillis, double factor) {
    boolean covers(double millis) {
        return millis >= fromMillis && millis < toMillis;
    }
}
