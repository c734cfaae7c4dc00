package io.agatelane.core.limits;

import io.agatelane.core.limits.command.AccountRateLimiter;
import io.agatelane.core.limits.command.AccountRateLimiter.LimitedRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;

/** Routers that share the limit of one account and receive each other's reports when these are 0.2 to 1 s old. */
final class SimulatedRouters {
    static final LimitMargin MARGIN = new LimitMargin(8_000, 0.1, 190_000);
    private static final long ACCOUNT = 7;
    private static final int REPORT_MILLIS = 200;
    private static final int MAX_DELAY_MILLIS = 800;
    private static final int EXPIRY_MILLIS = 3_000;
    private static final int KEPT_REPORTS = (EXPIRY_MILLIS + MAX_DELAY_MILLIS) / REPORT_MILLIS + 1;
    // One request in five is large; the others have a 44th of its units.
    private static final int LARGE_RATIO = 5;
    private static final int SIZE_RATIO = 44;

    private final Random random;
    private final List<Router> routers = new ArrayList<>();
    private final List<long[]> admitted = new ArrayList<>();
    private final long largeUnits;
    private double nextArrivalMillis;
    private long now = 10_000;
    private double idealLevel = Double.MAX_VALUE;
    private long idealMillis = now;
    AccountLimit limit;
    /** Chooses the router of a request by a random number. */
    IntUnaryOperator routing;

    Counts counts = new Counts();

    /** Requests since the counts were last replaced. */
    static final class Counts {
        long units;
        int refused;
        /** Refused requests that one token bucket for all routers, which is full at the start, would have admitted. */
        int refusedWithinLimit;

        int large;
        int largeAdmitted;
        int small;
        int smallAdmitted;
        long minRetryMillis = Long.MAX_VALUE;
    }

    private record Report(long millis, List<AccountDemand> demands) {}

    private final class Router implements AccountRateLimiter.Fleet {
        private final int phaseMillis = random.nextInt(REPORT_MILLIS);
        private final int delayMillis = REPORT_MILLIS + random.nextInt(MAX_DELAY_MILLIS - REPORT_MILLIS);
        private final Deque<Report> sent = new ArrayDeque<>();
        private final AccountRateLimiter limiter = new AccountRateLimiter(this, new Random(random.nextLong()), now);
        private int group;

        @Override
        public Map<Long, AccountDemand> others(long nowMillis) {
            Map<Long, AccountDemand> sums = new HashMap<>();
            routers.stream()
                    .filter(other -> other != this && other.group == group)
                    .forEach(other -> other.reportAt(nowMillis - delayMillis)
                            .forEach(demand -> sums.merge(demand.account(), demand, AccountDemand::plus)));
            return sums;
        }

        private List<AccountDemand> reportAt(long millis) {
            return sent.stream()
                    .filter(report -> report.millis() <= millis)
                    .findFirst()
                    .filter(report -> millis - report.millis() < EXPIRY_MILLIS)
                    .map(Report::demands)
                    .orElse(List.of());
        }

        @Override
        public int registeredRouters() {
            return routers.size();
        }

        @Override
        public LimitMargin margin() {
            return MARGIN;
        }

        private void report() {
            sent.addFirst(new Report(now, limiter.reports(Map.of(ACCOUNT, limit), now)));
            if (sent.size() > KEPT_REPORTS) {
                sent.removeLast();
            }
        }
    }

    SimulatedRouters(int count, AccountLimit limit, long largeUnits, long seed) {
        this.random = new Random(seed);
        this.limit = limit;
        this.largeUnits = largeUnits;
        this.routing = number -> Math.floorMod(number, count);
        restart(count);
    }

    /** Replaces all routers by new processes. */
    void restart(int count) {
        routers.clear();
        IntStream.range(0, count).forEach(i -> routers.add(new Router()));
    }

    /** Ends the contact of each of the first routers to all others; they go on to serve. */
    void cutOff(int count) {
        IntStream.range(0, count).forEach(i -> routers.get(i).group = i + 1);
    }

    /** Ends the isolation of routers. */
    void reconnect() {
        routers.forEach(router -> router.group = 0);
    }

    /** Begins the record of windows again. */
    void forgetAdmitted() {
        admitted.clear();
    }

    /** Runs for some time at a demand in units per second. */
    void run(long millis, double demandPerSecond) {
        double meanUnits = (largeUnits + (LARGE_RATIO - 1.0) * smallUnits()) / LARGE_RATIO;
        nextArrivalMillis = now;
        for (long end = now + millis; now < end; now++) {
            routers.stream()
                    .filter(router -> now % REPORT_MILLIS == router.phaseMillis)
                    .forEach(Router::report);
            for (; nextArrivalMillis < now + 1; nextArrivalMillis += gapMillis(meanUnits / demandPerSecond)) {
                send(routers.get(routing.applyAsInt(random.nextInt())), random.nextInt(LARGE_RATIO) == 0);
            }
        }
    }

    private double gapMillis(double meanSeconds) {
        return -Math.log(1 - random.nextDouble()) * meanSeconds * 1_000;
    }

    private long smallUnits() {
        return Math.max(1, largeUnits / SIZE_RATIO);
    }

    private void send(Router router, boolean isLarge) {
        long units = isLarge ? largeUnits : smallUnits();
        LimitedRequest request = router.limiter.arrive(ACCOUNT, limit, units, now);
        RateDecision decision = router.limiter.decide(request, now);
        boolean isWithinLimit = takeIdeal(units);
        counts.large += isLarge ? 1 : 0;
        counts.small += isLarge ? 0 : 1;
        if (decision.admitted()) {
            router.limiter.recordSent(request, now);
            admitted.add(new long[] {now, units});
            counts.units += units;
            counts.largeAdmitted += isLarge ? 1 : 0;
            counts.smallAdmitted += isLarge ? 0 : 1;
        } else {
            counts.refused++;
            counts.refusedWithinLimit += isWithinLimit ? 1 : 0;
            counts.minRetryMillis = Math.min(counts.minRetryMillis, decision.retryAfterMillis());
        }
    }

    private boolean takeIdeal(long units) {
        idealLevel = Math.min(limit.burst(), idealLevel + (now - idealMillis) * limit.ratePerSecond() / 1_000);
        idealMillis = now;
        boolean admits = idealLevel >= units;
        idealLevel -= admits ? units : 0;
        return admits;
    }

    /** Returns the largest number of units that was admitted in any window. */
    long largestWindow() {
        long largest = 0;
        long sum = 0;
        int first = 0;
        for (long[] last : admitted) {
            sum += last[1];
            while (admitted.get(first)[0] <= last[0] - MARGIN.windowMillis()) {
                sum -= admitted.get(first)[1];
                first++;
            }
            largest = Math.max(largest, sum);
        }
        return largest;
    }

    /** Returns what the requirement allows in a window. */
    static double bound(AccountLimit limit) {
        return (limit.ratePerSecond() * MARGIN.windowSeconds() + limit.burst()) * (1 + MARGIN.tolerance())
                + MARGIN.slack();
    }
}
