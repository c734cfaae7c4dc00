package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.PeerTotal;
import io.agatelane.core.fleet.PrefillBacklog;
import io.agatelane.core.fleet.RequestWork;
import io.agatelane.core.fleet.UpstreamEstimate;
import java.util.HashMap;
import java.util.Map;

/**
 * Load of one incarnation of an upstream, as observed by this router. Thread-safe.
 *
 * <p>Load reports are attached to responses and soon outdated, while the number of this router's own requests is exact.
 * The requests of the other routers are derived from the last report and decay until a newer report arrives.
 */
public final class UpstreamLoad {
    // Half-life of the other routers' requests in a report: about twice the time between reports on a busy service.
    private static final double OTHERS_HALF_LIFE_MILLIS = 500;
    // Half-life of failures; short, so that a recovered upstream receives requests again within seconds.
    private static final double FAILURE_HALF_LIFE_MILLIS = 2_000;

    private final Map<Object, Long> unansweredSinceMillis = new HashMap<>();
    private final UpstreamSpeed speed = new UpstreamSpeed();
    private int inFlight;
    private long memoryTokens;
    private PrefillBacklog backlog = PrefillBacklog.EMPTY;
    private double otherRequests;
    private long lastReportMillis;
    private double failures;
    private long failuresUpdatedMillis;

    /** Counts a request that is about to be sent. */
    public synchronized void recordSent(Object request, RequestWork work, long nowMillis) {
        inFlight++;
        memoryTokens += work.memoryTokens();
        backlog = backlog.with(work.priority(), work.prefillMillis());
        unansweredSinceMillis.put(request, nowMillis);
    }

    /** Records that the response to a request has started; further calls for the same request have no effect. */
    public synchronized void recordResponseStarted(Object request, RequestWork work) {
        if (unansweredSinceMillis.remove(request) != null) {
            backlog = backlog.with(work.priority(), -work.prefillMillis());
        }
    }

    /** Records the end of a request that was counted as sent. */
    public synchronized void recordEnded(Object request, RequestWork work) {
        recordResponseStarted(request, work);
        inFlight--;
        memoryTokens -= work.memoryTokens();
    }

    /**
     * Records a load report of the upstream.
     *
     * @param slownessPercent duration of work relative to its normal duration; 100 is normal
     */
    public synchronized void recordReport(int running, int waiting, double slownessPercent, long nowMillis) {
        otherRequests = Math.max(0, running + waiting - inFlight);
        speed.recordReport(slownessPercent, nowMillis);
        lastReportMillis = nowMillis;
    }

    /**
     * Records how long the upstream took for a response, after the load report of that response.
     *
     * @param factor observed by normal duration
     * @param weight 0 to 1; how much the response says about the speed of the upstream
     */
    public synchronized void recordDuration(double factor, double weight, long nowMillis) {
        speed.recordDuration(factor, weight, nowMillis);
    }

    /** Records a failure caused by the upstream itself. */
    public synchronized void recordFailure(long nowMillis) {
        failures = failures(nowMillis) + 1;
        failuresUpdatedMillis = nowMillis;
    }

    /** Records a successful response, which halves the number of recent failures. */
    public synchronized void recordSuccess(long nowMillis) {
        failures = failures(nowMillis) / 2;
        failuresUpdatedMillis = nowMillis;
    }

    /**
     * Returns an immutable estimate for one decision, which includes the loads that the other routers have reported.
     */
    public synchronized UpstreamEstimate estimate(PeerTotal peers, long nowMillis) {
        double decayedOtherRequests =
                otherRequests * decayFactor(nowMillis - lastReportMillis, OTHERS_HALF_LIFE_MILLIS);
        return new UpstreamEstimate(
                inFlight + Math.max(decayedOtherRequests, peers.inFlight()),
                backlog.plus(peers.backlog()),
                speed.pace(nowMillis).plus(peers.pace()).durationPercent(),
                Math.max(oldestUnansweredMillis(nowMillis), peers.confirmedUnansweredMillis()),
                failures(nowMillis) + peers.failures(),
                memoryTokens + peers.memoryTokens());
    }

    /** Returns the load to announce to the other routers. */
    public synchronized PeerLoad digest(long upstream, long nowMillis) {
        return new PeerLoad(
                upstream,
                inFlight,
                backlog,
                (int) oldestUnansweredMillis(nowMillis),
                failures(nowMillis),
                memoryTokens,
                speed.pace(nowMillis));
    }

    private long oldestUnansweredMillis(long nowMillis) {
        return unansweredSinceMillis.values().stream()
                .mapToLong(since -> nowMillis - since)
                .max()
                .orElse(0);
    }

    private double failures(long nowMillis) {
        return failures * decayFactor(nowMillis - failuresUpdatedMillis, FAILURE_HALF_LIFE_MILLIS);
    }

    private static double decayFactor(long ageMillis, double halfLifeMillis) {
        return Math.pow(0.5, ageMillis / halfLifeMillis);
    }
}
