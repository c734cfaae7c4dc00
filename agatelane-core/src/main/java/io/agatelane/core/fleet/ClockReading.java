package io.agatelane.core.fleet;

/**
 * Readings of the monotonic clock and the wall clock at one moment, such as the last time at which the configuration
 * was verified as current.
 *
 * <p>The monotonic clock stops while a VM is suspended, and the wall clock may be stepped. The age is the larger one of
 * both clocks, so that neither effect makes a reading look more recent than it is.
 *
 * @param monotonicMillis monotonic time; for a read of the configuration, the time at which the read was sent
 * @param epochMillis wall-clock time of the same moment
 */
public record ClockReading(long monotonicMillis, long epochMillis) {
    /** Returns this reading moved back by an age on both clocks. */
    public ClockReading earlierBy(long ageMillis) {
        return new ClockReading(monotonicMillis - ageMillis, epochMillis - ageMillis);
    }

    /** Returns the age at a moment: the larger one of the ages by both clocks. */
    public long ageMillis(long nowMonotonicMillis, long nowEpochMillis) {
        return Math.max(nowMonotonicMillis - monotonicMillis, nowEpochMillis - epochMillis);
    }
}
