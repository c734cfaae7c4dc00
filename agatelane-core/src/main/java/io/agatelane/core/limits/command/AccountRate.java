package io.agatelane.core.limits.command;

import io.agatelane.core.limits.AccountDemand;
import io.agatelane.core.limits.AccountLimit;
import io.agatelane.core.limits.query.LimitShare;
import java.util.ArrayDeque;
import java.util.Deque;

/** What a router knows of the use of one limited account: its own rates and the level of the common token bucket. */
final class AccountRate {
    // Short, so that a jump of the demand shows in a report at once.
    private static final double DECAY_SECONDS = 0.35;
    private static final double MILLIS_PER_SECOND = 1_000;
    // While requests are refused, the estimates of all routers approach each other with this time constant.
    private static final double ALIGNMENT_SECONDS = 16;
    // The alignment forgives overuse, so it is limited to a small part of the rate.
    private static final double MAX_ALIGNMENT_PART = 0.02;
    // Bounds the time for which a wrong estimate may refuse all requests; must exceed what one request uses.
    private static final double MAX_DEBT_SECONDS = 8;
    // Reports of the other routers are up to 0.6 s old; samples are taken every 200 ms.
    private static final int SAMPLES = 4;
    // Requests that are added to a count before counts are compared, because small ones vary by chance.
    private static final double GROWTH_PRIOR = 1.5;
    // A router that had fewer requests than this cannot tell growth of the demand from demand that has moved to it.
    private static final double REPRESENTATIVE_REQUESTS = 1;
    private static final double MAX_GROWTH = 8;
    // Growth by more than this factor means that callers have moved to this router.
    private static final double MOVED_RATIO = 12;
    private static final double NEGLIGIBLE_UNITS = 0.001;

    private final AccountLimit.Unit unit;
    private final Deque<Double> requestSamples = new ArrayDeque<>();
    private double level;
    private double demand;
    private double admitted;
    private double requests;
    private double shareFraction = 1;
    private boolean isAlone;
    private boolean isLimiting;
    private long updatedMillis;

    /**
     * Creates the state of an account that no router has used before.
     *
     * @param knownSinceMillis time since which the use of accounts is known
     */
    AccountRate(AccountLimit limit, LimitShare share, long knownSinceMillis, long nowMillis) {
        unit = limit.unit();
        shareFraction = share.fraction();
        level = Math.min(share.capacity(), share.ratePerSecond() * seconds(nowMillis - knownSinceMillis));
        updatedMillis = nowMillis;
    }

    /** Whether the state is of use for a limit, whose unit may have changed. */
    boolean isFor(AccountLimit limit) {
        return unit == limit.unit();
    }

    /** Applies the time that has passed and a change of the limit. */
    void advance(LimitShare share, AccountDemand others, long nowMillis) {
        double step = seconds(nowMillis - updatedMillis);
        // Threads may come here in another order than they have read the time.
        updatedMillis = Math.max(updatedMillis, nowMillis);
        double decay = Math.exp(-step / DECAY_SECONDS);
        demand *= decay;
        admitted *= decay;
        requests *= decay;
        if (step * MILLIS_PER_SECOND > AccountRateLimiter.MAX_PAUSE_MILLIS) {
            level = Math.min(level, 0);
            requestSamples.clear();
        } else {
            fill(share, others.admittedUnits(), step);
        }
        if (share.fraction() < shareFraction) {
            // The routers that are missing may draw from their own part of the bucket from now on.
            level *= share.fraction() / shareFraction;
        }
        shareFraction = share.fraction();
        level = Math.min(level, share.capacity());
    }

    private void fill(LimitShare share, double othersAdmitted, double step) {
        if (isLimiting && level < 0) {
            level = Math.min(
                    0, level + step * Math.min(-level / ALIGNMENT_SECONDS, share.ratePerSecond() * MAX_ALIGNMENT_PART));
        }
        double lowest = Math.min(level, -share.capacity() - MAX_DEBT_SECONDS * share.ratePerSecond());
        level = Math.max(lowest, level + step * (share.ratePerSecond() - othersAdmitted));
    }

    /**
     * Applies the loss or return of contact to the other routers.
     *
     * @param phase random number from 0 to 1
     * @param units units of the request to decide on
     */
    void setAlone(boolean alone, LimitShare share, double units, double phase) {
        if (alone && !isAlone) {
            // A part that is smaller than a request admits one only now and then. Without different phases, all the
            // routers that are cut off together would admit one at once.
            level -= phase * Math.max(0, units - share.capacity() - share.debt());
        }
        isAlone = alone;
    }

    void addDemand(double units) {
        demand += units;
        requests++;
    }

    /** Adds admitted units; negative ones are returned, because the request was not run. */
    void addAdmitted(double units) {
        admitted += units;
        level -= units;
    }

    /** Keeps the number of recent requests for comparison with later ones. Called every 200 ms. */
    void sampleRequests() {
        requestSamples.addLast(requests);
        if (requestSamples.size() > SAMPLES) {
            requestSamples.removeFirst();
        }
    }

    /** Returns the factor by which the own demand has grown since the reports of the other routers were made. */
    double growth() {
        if (requestSamples.isEmpty()) {
            return 1;
        }
        double before = requestSamples.getFirst();
        if (requests > MOVED_RATIO * before) {
            return 1;
        }
        double weight = before / (before + REPRESENTATIVE_REQUESTS);
        return Math.min(MAX_GROWTH, 1 + Math.max(0, requests - before) * weight / (before + GROWTH_PRIOR));
    }

    double demandPerSecond() {
        return demand / DECAY_SECONDS;
    }

    /** Returns the demand without a request that has arrived some time ago. */
    double demandWithout(double units, long ageMillis) {
        return Math.max(0, demand - units * Math.exp(-seconds(ageMillis) / DECAY_SECONDS)) / DECAY_SECONDS;
    }

    double admittedPerSecond() {
        return admitted / DECAY_SECONDS;
    }

    double level() {
        return level;
    }

    void setLimiting(boolean limiting) {
        isLimiting = limiting;
    }

    /** Whether the state is the same as that of an account which was never used. */
    boolean isIdle(LimitShare share) {
        return demand < NEGLIGIBLE_UNITS && Math.abs(admitted) < NEGLIGIBLE_UNITS && level >= share.capacity();
    }

    private static double seconds(long millis) {
        return Math.max(0, millis) / MILLIS_PER_SECOND;
    }
}
