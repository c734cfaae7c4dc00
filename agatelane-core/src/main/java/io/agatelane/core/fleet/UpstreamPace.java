package io.agatelane.core.fleet;

/**
 * What is known of the speed of one incarnation of an upstream.
 *
 * @param evidence observed durations, which show its lasting speed
 * @param slowness newest report of its momentary slowness
 */
public record UpstreamPace(DurationEvidence evidence, ReportedSlowness slowness) {
    /** Nothing is known. */
    public static final UpstreamPace UNKNOWN = new UpstreamPace(DurationEvidence.NONE, ReportedSlowness.NONE);

    private static final double PERCENT = 100;

    /** Returns what two routers know together. */
    public UpstreamPace plus(UpstreamPace other) {
        return new UpstreamPace(evidence.plus(other.evidence), slowness.newer(other.slowness));
    }

    /** Returns the pace without the observations of one router. */
    public UpstreamPace minus(UpstreamPace part) {
        return new UpstreamPace(evidence.minus(part.evidence), slowness);
    }

    /** Returns the expected duration of work now as a percentage of the normal one. */
    public double durationPercent() {
        return PERCENT * evidence.durationFactor() * slowness.relativeTo(evidence.usualSlowness());
    }
}
