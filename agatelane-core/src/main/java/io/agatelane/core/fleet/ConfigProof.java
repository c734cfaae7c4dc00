package io.agatelane.core.fleet;

/**
 * The newest moment at which the configuration was known to be current.
 *
 * <p>The monotonic clock stands still while a VM is suspended, the wall clock may be stepped. The age is the larger of
 * both, so that neither makes a proof look younger than it is.
 *
 * @param monotonicMillis when the read that proves it was sent
 * @param epochMillis the same moment in wall-clock time
 */
public record ConfigProof(long monotonicMillis, long epochMillis) {
    /** Whether another proof shows a later moment on both clocks. */
    public boolean isOlderThan(ConfigProof other) {
        return monotonicMillis < other.monotonicMillis && epochMillis < other.epochMillis;
    }

    /** The same proof, earlier by an age. */
    public ConfigProof earlierBy(long ageMillis) {
        return new ConfigProof(monotonicMillis - ageMillis, epochMillis - ageMillis);
    }

    /** Age at a moment, in milliseconds. */
    public long ageMillis(long nowMonotonicMillis, long nowEpochMillis) {
        return Math.max(nowMonotonicMillis - monotonicMillis, nowEpochMillis - epochMillis);
    }
}
