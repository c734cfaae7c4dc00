package io.agatelane.core.fleet.command;

import java.util.HashMap;
import java.util.Map;

/**
 * What one router has seen of one start of an upstream. Thread-safe.
 *
 * <p>Load reports ride on answers and are old at once; what this router has in flight itself is exact. The report gives
 * the part of the other routers, which fades when no newer report comes.
 */
public final class UpstreamLoad {
    // The other routers' part of a report halves in this time: about twice the time between reports on a busy service.
    private static final double OTHERS_HALF_LIFE_MILLIS = 500;
    // Failures count half after this time, so that a recovered upstream gets work again within seconds.
    private static final double FAILURE_HALF_LIFE_MILLIS = 2_000;
    private static final double SPEED_AS_USUAL_PERCENT = 100;

    private final Map<Object, Long> unansweredSinceMillis = new HashMap<>();
    private int inFlight;
    private double pendingPrefillMillis;
    private double others;
    private double speedPercent = SPEED_AS_USUAL_PERCENT;
    private long reportedMillis;
    private double failures;
    private long failedMillis;

    /** Records that a request is about to be sent. */
    public synchronized void sent(Object call, double prefillMillis, long nowMillis) {
        inFlight++;
        pendingPrefillMillis += prefillMillis;
        unansweredSinceMillis.put(call, nowMillis);
    }

    /** Records the head of an answer. */
    public synchronized void answered(Object call, double prefillMillis) {
        if (unansweredSinceMillis.remove(call) != null) {
            pendingPrefillMillis = Math.max(0, pendingPrefillMillis - prefillMillis);
        }
    }

    /** Records the end of a request that was sent. */
    public synchronized void ended(Object call, double prefillMillis) {
        answered(call, prefillMillis);
        inFlight--;
    }

    /** Records a load report. */
    public synchronized void reported(int running, int waiting, double newSpeedPercent, long nowMillis) {
        others = Math.max(0, running + waiting - inFlight);
        speedPercent = newSpeedPercent;
        reportedMillis = nowMillis;
    }

    /** Records a failure of the upstream itself. */
    public synchronized void failed(long nowMillis) {
        failures = failures(nowMillis) + 1;
        failedMillis = nowMillis;
    }

    /** Records a sound answer. */
    public synchronized void succeeded(long nowMillis) {
        failures = failures(nowMillis) / 2;
        failedMillis = nowMillis;
    }

    /** An immutable copy for one decision. */
    public synchronized UpstreamEstimate estimate(long nowMillis) {
        double othersNow = others * halved(nowMillis - reportedMillis, OTHERS_HALF_LIFE_MILLIS);
        double speed = speedPercent > SPEED_AS_USUAL_PERCENT
                ? SPEED_AS_USUAL_PERCENT
                        + (speedPercent - SPEED_AS_USUAL_PERCENT)
                                * halved(nowMillis - reportedMillis, OTHERS_HALF_LIFE_MILLIS)
                : speedPercent;
        long oldest = unansweredSinceMillis.values().stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(nowMillis);
        return new UpstreamEstimate(
                inFlight + othersNow, inFlight, pendingPrefillMillis, speed, nowMillis - oldest, failures(nowMillis));
    }

    private double failures(long nowMillis) {
        return failures * halved(nowMillis - failedMillis, FAILURE_HALF_LIFE_MILLIS);
    }

    private static double halved(long ageMillis, double halfLifeMillis) {
        return Math.pow(0.5, ageMillis / halfLifeMillis);
    }
}
