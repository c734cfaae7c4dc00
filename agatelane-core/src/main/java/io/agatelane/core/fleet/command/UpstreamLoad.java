package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.PeerTotal;
import io.agatelane.core.fleet.PrefillBacklog;
import io.agatelane.core.fleet.UpstreamEstimate;
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
    private PrefillBacklog backlog = PrefillBacklog.EMPTY;
    private double others;
    private double speedPercent = SPEED_AS_USUAL_PERCENT;
    private long reportedMillis;
    private double failures;
    private long failedMillis;

    /** Records that a request is about to be sent. */
    public synchronized void sent(Object call, int priority, double prefillMillis, long nowMillis) {
        inFlight++;
        backlog = backlog.with(priority, prefillMillis);
        unansweredSinceMillis.put(call, nowMillis);
    }

    /** Records the head of an answer. */
    public synchronized void answered(Object call, int priority, double prefillMillis) {
        if (unansweredSinceMillis.remove(call) != null) {
            backlog = backlog.with(priority, -prefillMillis);
        }
    }

    /** Records the end of a request that was sent. */
    public synchronized void ended(Object call, int priority, double prefillMillis) {
        answered(call, priority, prefillMillis);
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

    /** An immutable copy for one decision, together with what the other routers say. */
    public synchronized UpstreamEstimate estimate(PeerTotal peers, long nowMillis) {
        double reportedOthers = others * halved(nowMillis - reportedMillis, OTHERS_HALF_LIFE_MILLIS);
        return new UpstreamEstimate(
                inFlight + Math.max(reportedOthers, peers.inFlight()),
                backlog.plus(peers.backlog()),
                speed(nowMillis),
                Math.max(silentMillis(nowMillis), peers.silentMillis()),
                failures(nowMillis) + peers.failures());
    }

    /** What the other routers are told. */
    public synchronized PeerLoad digest(long upstream, long nowMillis) {
        return new PeerLoad(upstream, inFlight, backlog, (int) silentMillis(nowMillis), failures(nowMillis));
    }

    // A slow moment passes; without a newer report the upstream counts as usual again.
    private double speed(long nowMillis) {
        double excess = speedPercent - SPEED_AS_USUAL_PERCENT;
        return SPEED_AS_USUAL_PERCENT + excess * halved(nowMillis - reportedMillis, OTHERS_HALF_LIFE_MILLIS);
    }

    private long silentMillis(long nowMillis) {
        return unansweredSinceMillis.values().stream()
                .mapToLong(since -> nowMillis - since)
                .max()
                .orElse(0);
    }

    private double failures(long nowMillis) {
        return failures * halved(nowMillis - failedMillis, FAILURE_HALF_LIFE_MILLIS);
    }

    private static double halved(long ageMillis, double halfLifeMillis) {
        return Math.pow(0.5, ageMillis / halfLifeMillis);
    }
}
