package io.agatelane.core.fleet;

/** Durations of the calls of one plain service, from sending a call until its response has ended. */
public interface CallDurations {
    /** Records the duration of a call that ended with a response. */
    void record(double millis);

    /** Returns the expected duration of the next call. */
    double meanMillis();

    /** Returns a duration that nine of ten calls do not exceed. */
    double highMillis();
}
