package io.agatelane.core.fleet;

/**
 * Observed durations of work on one incarnation of an upstream, relative to the normal duration, as weighted sums that
 * can be added over routers. Logarithms make twice as long and half as long cancel out.
 *
 * @param weight number of observations; earlier ones count less
 * @param durationLogSum sum of the logarithms of observed by normal duration
 * @param slownessLogSum sum of the logarithms of the slowness that the upstream itself reported with each observation
 */
public record DurationEvidence(double weight, double durationLogSum, double slownessLogSum) {
    /** No observations. */
    public static final DurationEvidence NONE = new DurationEvidence(0, 0, 0);

    // Observations of normal duration that are assumed in addition, so that a few samples prove little.
    private static final double ASSUMED_NORMAL = 3;
    // A duration beyond these factors is a fault of the upstream or of the expectation, not a speed.
    private static final double MIN_FACTOR = 0.3;
    private static final double MAX_FACTOR = 5;
    // Deviations within the noise of the observations count as normal, so that equal upstreams stay equal.
    private static final double NOISE = 0.06;

    /** Returns the evidence with an observation added. */
    public DurationEvidence with(double addedWeight, double durationLog, double slownessLog) {
        return new DurationEvidence(
                weight + addedWeight,
                durationLogSum + addedWeight * durationLog,
                slownessLogSum + addedWeight * slownessLog);
    }

    /** Returns the sum of two pieces of evidence. */
    public DurationEvidence plus(DurationEvidence other) {
        return new DurationEvidence(
                weight + other.weight, durationLogSum + other.durationLogSum, slownessLogSum + other.slownessLogSum);
    }

    /** Returns the evidence without a part of it. */
    public DurationEvidence minus(DurationEvidence part) {
        if (part.weight >= weight) {
            return NONE;
        }
        return new DurationEvidence(
                weight - part.weight, durationLogSum - part.durationLogSum, slownessLogSum - part.slownessLogSum);
    }

    /** Returns the evidence with all weights multiplied by a factor. */
    public DurationEvidence scaled(double factor) {
        return new DurationEvidence(weight * factor, durationLogSum * factor, slownessLogSum * factor);
    }

    /** Returns the estimated lasting duration of work relative to the normal one; 1 without observations. */
    public double durationFactor() {
        double log = durationLogSum / (weight + ASSUMED_NORMAL);
        double beyondNoise = Math.copySign(Math.max(0, Math.abs(log) - NOISE), log);
        return Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, Math.exp(beyondNoise)));
    }

    /** Returns the slowness that the upstream usually reports, as a factor; 1 without observations. */
    public double usualSlowness() {
        return Math.exp(slownessLogSum / (weight + ASSUMED_NORMAL));
    }

    /** Returns the mean observed duration relative to the normal one; 1 without observations. */
    public double meanDuration() {
        return weight > 0 ? Math.exp(durationLogSum / weight) : 1;
    }

    /** Returns the mean reported slowness as a factor; 1 without observations. */
    public double meanSlowness() {
        return weight > 0 ? Math.exp(slownessLogSum / weight) : 1;
    }

    /** Returns evidence with given means. */
    public static DurationEvidence ofMeans(double weight, double meanDuration, double meanSlowness) {
        return weight > 0 && meanDuration > 0 && meanSlowness > 0
                ? NONE.with(weight, Math.log(meanDuration), Math.log(meanSlowness))
                : NONE;
    }
}
