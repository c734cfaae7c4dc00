package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.DurationEvidence;
import io.agatelane.core.fleet.ReportedSlowness;
import io.agatelane.core.fleet.UpstreamPace;

/**
 * Speed of one incarnation of an upstream, learned from the durations of this router's own requests and from the
 * upstream's load reports. Not thread-safe.
 */
final class UpstreamSpeed {
    // A lasting speed stays known through some seconds without requests; a disturbance of a second has little weight.
    private static final double EVIDENCE_HALF_LIFE_MILLIS = 10_000;
    // Largest deviation, as a logarithm, of an observation from the present estimate that is believed: one request that
    // waited for a lost cache entry or a retransmission does not make its upstream slow.
    private static final double MAX_DEVIATION = 1;
    // A report beyond this range is a fault of the upstream.
    private static final double MIN_SLOWNESS_PERCENT = 10;
    private static final double MAX_SLOWNESS_PERCENT = 2_000;
    private static final double PERCENT = 100;

    private DurationEvidence evidence = DurationEvidence.NONE;
    private long evidenceMillis;
    private ReportedSlowness slowness = ReportedSlowness.NONE;
    private long slownessMillis;

    void recordReport(double slownessPercent, long nowMillis) {
        if (!Double.isFinite(slownessPercent) || slownessPercent <= 0) {
            return;
        }
        double clamped = Math.max(MIN_SLOWNESS_PERCENT, Math.min(MAX_SLOWNESS_PERCENT, slownessPercent));
        slowness = new ReportedSlowness((int) Math.round(clamped), 0);
        slownessMillis = nowMillis;
    }

    /** Records an observed duration relative to the normal one, which was measured until the newest report. */
    void recordDuration(double factor, double weight, long nowMillis) {
        if (!(factor > 0) || !(weight > 0) || !Double.isFinite(factor)) {
            return;
        }
        evidence = evidence(nowMillis);
        evidenceMillis = nowMillis;
        double slownessLog = Math.log(slowness.percent() / PERCENT);
        double expectedLog = Math.log(evidence.durationFactor()) + slownessLog - Math.log(evidence.usualSlowness());
        double deviation = Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, Math.log(factor) - expectedLog));
        evidence = evidence.with(weight, expectedLog + deviation, slownessLog);
    }

    UpstreamPace pace(long nowMillis) {
        return new UpstreamPace(evidence(nowMillis), slowness.older(nowMillis - slownessMillis));
    }

    private DurationEvidence evidence(long nowMillis) {
        long ageMillis = Math.max(0, nowMillis - evidenceMillis);
        return evidence.scaled(Math.pow(0.5, ageMillis / EVIDENCE_HALF_LIFE_MILLIS));
    }
}
