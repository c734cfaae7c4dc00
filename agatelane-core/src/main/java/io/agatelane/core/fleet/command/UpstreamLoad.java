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

    // What is left of a response that takes longer than expected, as a share of the expected time.
    private static final double MIN_REMAINING_SHARE = 0.2;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final Map<Object, Long> unansweredSinceMillis = new HashMap<>();
    private final Map<Object, Output> outputs = new HashMap<>();
    private final UpstreamSpeed speed = new UpstreamSpeed();
    private int inFlight;
    private long memoryTokens;
    private double unansweredMillis;
    private PrefillBacklog backlog = PrefillBacklog.EMPTY;
    private double otherRequests;
    private long lastReportMillis;
    private double failures;
    private long failuresUpdatedMillis;
    private long lastResponseMillis = NEVER_MILLIS;

    // A response that has started, and how long it is expected to take from then on.
    private record Output(long startedMillis, double millis) {
        private double remainingMillis(long nowMillis) {
            return Math.max(millis * MIN_REMAINING_SHARE, millis - (nowMillis - startedMillis));
        }
    }

    /** Counts a request that is about to be sent. */
    public synchronized void recordSent(Object request, RequestWork work, long nowMillis) {
        inFlight++;
        memoryTokens += work.memoryTokens();
        backlog = backlog.with(work.priority(), work.prefillMillis());
        unansweredMillis += work.prefillMillis() + work.outputMillis();
        unansweredSinceMillis.put(request, nowMillis);
    }

    /** Records that the response to a request has started; further calls for the same request have no effect. */
    public synchronized void recordResponseStarted(Object request, RequestWork work, long nowMillis) {
        lastResponseMillis = nowMillis;
        endWait(request, work, nowMillis);
    }

    private void endWait(Object request, RequestWork work, long nowMillis) {
        if (unansweredSinceMillis.remove(request) != null) {
            unansweredMillis -= work.prefillMillis() + work.outputMillis();
            outputs.put(request, new Output(nowMillis, work.outputMillis()));
            backlog = backlog.with(work.priority(), -work.prefillMillis());
        }
    }

    /** Records the end of a request that was counted as sent. */
    public synchronized void recordEnded(Object request, RequestWork work, long nowMillis) {
        endWait(request, work, nowMillis);
        outputs.remove(request);
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

    /** Whether no response has started since a time. */
    public synchronized boolean hasBeenSilentSince(long millis) {
        return lastResponseMillis < millis;
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
        double others = Math.max(decayedOtherRequests, peers.inFlight());
        return new UpstreamEstimate(
                inFlight + others,
                backlog.plus(peers.backlog()),
                speed.pace(nowMillis).plus(peers.pace()).durationPercent(),
                Math.max(oldestUnansweredMillis(nowMillis), peers.confirmedUnansweredMillis()),
                failures(nowMillis) + peers.failures(),
                memoryTokens + peers.memoryTokens(),
                remainingMillis(nowMillis) + othersRemainingMillis(peers, others));
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
                remainingMillis(nowMillis),
                speed.pace(nowMillis));
    }

    private double remainingMillis(long nowMillis) {
        double running = outputs.values().stream()
                .mapToDouble(output -> output.remainingMillis(nowMillis))
                .sum();
        return Math.max(0, unansweredMillis) + running;
    }

    // Requests that only the upstream's report shows have as much work left as those that other routers report.
    private static double othersRemainingMillis(PeerTotal peers, double others) {
        double perRequest = peers.inFlight() > 0 && peers.remainingMillis() > 0
                ? peers.remainingMillis() / peers.inFlight()
                : RequestWork.ASSUMED_OUTPUT_MILLIS / 2;
        return others * perRequest;
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
