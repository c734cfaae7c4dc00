package io.agatelane.core.limits.command;

import io.agatelane.core.limits.AccountDemand;
import io.agatelane.core.limits.AccountLimit;
import io.agatelane.core.limits.LimitMargin;
import io.agatelane.core.limits.RateDecision;
import io.agatelane.core.limits.query.LimitShare;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Enforces rate limits of client accounts over all routers. Thread-safe.
 *
 * <p>Each router estimates the level of one token bucket per account for all routers: it fills at the rate of the
 * limit, and is emptied by what this router admits and what the others report to have admitted. While the level covers
 * the demand until the next reports arrive, every request is admitted. Otherwise the routers compute, from the same
 * sums, the same fraction of the demand to admit, and each admits a request with this probability. It does not depend
 * on the size of the request, so large ones are served as often as small ones, and no router needs a share that is
 * large enough for one of them.
 */
public final class AccountRateLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;
    // Age of the newest reports when they arrive over two relays.
    private static final double REPORT_DELAY_SECONDS = 0.6;
    // Time in which the level of the bucket is brought to 0 while demand exceeds the limit. Shorter than two and a
    // half times the delay of the reports, the level oscillates.
    private static final double HORIZON_SECONDS = 1.5;
    // Reports arrive every 200 ms from each sender.
    private static final long REFRESH_MILLIS = 50;
    // Two digests of the relay that takes over.
    private static final long RELAY_CHANGE_MILLIS = 500;
    // After a longer pause, for example of the VM, what the other routers have admitted meanwhile is not known.
    static final long MAX_PAUSE_MILLIS = 2_000;
    private static final long MIN_RETRY_MILLIS = 50;
    private static final long MAX_RETRY_MILLIS = 3_600_000;

    private final Fleet fleet;
    private final RandomGenerator random;
    private final Map<Long, AccountRate> rates = new HashMap<>();
    private long knownSinceMillis;
    private Map<Long, AccountDemand> others = Map.of();
    private long refreshedMillis;
    private long contactMillis;

    /** What is known of the other routers. */
    public interface Fleet {
        /** The sums that other routers report, by account, with {@link AccountDemand#ROUTERS}. */
        Map<Long, AccountDemand> others(long nowMillis);

        /** Number of registered routers, this one included. */
        int registeredRouters();

        /** By how much limits may be exceeded. */
        LimitMargin margin();
    }

    /**
     * A request of a limited account.
     *
     * @param account hash of the account's name
     * @param arrivedMillis when the request arrived
     * @param draw random number from 0 to 1, the same each time the request is decided on, so that a request which waits
     *     is not refused only because it was looked at several times
     */
    public record LimitedRequest(long account, AccountLimit limit, long units, long arrivedMillis, double draw) {}

    /**
     * Creates a limiter whose buckets are empty.
     *
     * @param startMillis time since which the use of accounts is known
     */
    public AccountRateLimiter(Fleet fleet, RandomGenerator random, long startMillis) {
        this.fleet = fleet;
        this.random = random;
        this.knownSinceMillis = startMillis;
        this.refreshedMillis = startMillis - REFRESH_MILLIS;
        this.contactMillis = startMillis - RELAY_CHANGE_MILLIS - 1;
    }

    /** Records the demand of a request that has arrived, which {@link #decide} may refuse later. */
    public synchronized LimitedRequest arrive(long account, AccountLimit limit, long units, long nowMillis) {
        LimitShare share = share(limit, nowMillis);
        AccountRate rate = rate(account, limit, share, nowMillis);
        rate.addDemand(units);
        rate.setAlone(share.isAlone(), share, units, random.nextDouble());
        return new LimitedRequest(account, limit, units, nowMillis, random.nextDouble());
    }

    /** Decides whether a request may be sent. */
    public synchronized RateDecision decide(LimitedRequest request, long nowMillis) {
        LimitShare share = share(request.limit(), nowMillis);
        AccountRate rate = rate(request.account(), request.limit(), share, nowMillis);
        AccountDemand reported = reported(request.account());
        double growth = rate.growth();
        double othersDemand = reported.demandUnits() * growth;
        double unreported = reported.admittedUnits() * (growth - 1) * REPORT_DELAY_SECONDS;
        double level = rate.level() - unreported;
        double reserve = Math.max(0, othersDemand - share.ratePerSecond()) * REPORT_DELAY_SECONDS;
        boolean isCovered = level > reserve || (reserve == 0 && level >= share.capacity());
        // The request itself is left out: with it, large requests would see a higher demand than small ones.
        double demand = rate.demandWithout(request.units(), nowMillis - request.arrivedMillis()) + othersDemand;
        double fraction = isCovered ? 1 : fraction(share.ratePerSecond() + level / HORIZON_SECONDS, demand);
        rate.setLimiting(fraction < 1);
        // A request that is larger than the bucket is admitted when the bucket is full.
        double needed = Math.min(request.units(), share.capacity() + share.debt());
        boolean admitted = level + share.debt() >= needed && request.draw() < fraction;
        double missing = Math.max(needed - level, Math.max(0, demand - share.ratePerSecond()));
        return new RateDecision(
                admitted,
                fraction,
                demand,
                level,
                share.fraction(),
                admitted ? 0 : retryAfterMillis(missing / share.ratePerSecond()));
    }

    private static double fraction(double admissiblePerSecond, double demandPerSecond) {
        return demandPerSecond <= admissiblePerSecond ? 1 : Math.max(0, admissiblePerSecond / demandPerSecond);
    }

    // Spread over one to two times the time until units are available, so that callers do not return together.
    private long retryAfterMillis(double seconds) {
        double millis = seconds * MILLIS_PER_SECOND * (1 + random.nextDouble());
        return Math.round(Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, millis)));
    }

    /** Records that a request is sent to an upstream. */
    public synchronized void recordSent(LimitedRequest request, long nowMillis) {
        rate(request, nowMillis).addAdmitted(request.units());
    }

    /** Records that a request which was sent has not run, so that it uses no units. */
    public synchronized void recordNotRun(LimitedRequest request, long nowMillis) {
        rate(request, nowMillis).addAdmitted(-request.units());
    }

    /**
     * Returns the rates to report to the other routers, and forgets accounts that are idle or no longer limited. Called
     * every 200 ms.
     *
     * @param limits limits by hash of the account's name
     */
    public synchronized List<AccountDemand> reports(Map<Long, AccountLimit> limits, long nowMillis) {
        rates.keySet().retainAll(limits.keySet());
        if (limits.isEmpty()) {
            return List.of();
        }
        refresh(nowMillis);
        // The level of an account that only other routers use has to be known when the first request of it arrives.
        others.keySet().stream()
                .filter(account -> !rates.containsKey(account) && limits.containsKey(account))
                .toList()
                .forEach(account ->
                        rate(account, limits.get(account), share(limits.get(account), nowMillis), nowMillis));
        List<AccountDemand> reports = new ArrayList<>();
        reports.add(AccountDemand.ofRouter());
        rates.entrySet().removeIf(entry -> {
            long account = entry.getKey();
            AccountLimit limit = limits.get(account);
            LimitShare share = share(limit, nowMillis);
            AccountRate rate = entry.getValue();
            rate.advance(share, reported(account), nowMillis);
            rate.sampleRequests();
            AccountDemand report = AccountDemand.ofUnits(account, rate.demandPerSecond(), rate.admittedPerSecond());
            if (report.demandPerSecond() > 0 || report.admittedPerSecond() > 0) {
                reports.add(report);
            }
            return !rate.isFor(limit) || (rate.isIdle(share) && !others.containsKey(account));
        });
        return reports;
    }

    /** Number of accounts that are kept in memory. */
    public synchronized int size() {
        return rates.size();
    }

    private AccountRate rate(LimitedRequest request, long nowMillis) {
        return rate(request.account(), request.limit(), share(request.limit(), nowMillis), nowMillis);
    }

    private AccountRate rate(long account, AccountLimit limit, LimitShare share, long nowMillis) {
        AccountRate rate = rates.get(account);
        if (rate == null || !rate.isFor(limit)) {
            rate = new AccountRate(limit, share, knownSinceMillis, nowMillis);
            rates.put(account, rate);
        }
        rate.advance(share, reported(account), nowMillis);
        return rate;
    }

    private LimitShare share(AccountLimit limit, long nowMillis) {
        refresh(nowMillis);
        long inContact = 1 + reported(AccountDemand.ROUTERS).demandPerSecond();
        return LimitShare.of(limit, fleet.margin(), inContact, fleet.registeredRouters());
    }

    private AccountDemand reported(long account) {
        return others.getOrDefault(account, new AccountDemand(account, 0, 0));
    }

    private void refresh(long nowMillis) {
        if (nowMillis - refreshedMillis > MAX_PAUSE_MILLIS) {
            knownSinceMillis = nowMillis;
        }
        if (nowMillis - refreshedMillis >= REFRESH_MILLIS) {
            Map<Long, AccountDemand> newest = fleet.others(nowMillis);
            if (newest.containsKey(AccountDemand.ROUTERS)) {
                contactMillis = nowMillis;
            }
            // The last reports hold while another relay takes over.
            if (nowMillis - contactMillis <= RELAY_CHANGE_MILLIS && !newest.containsKey(AccountDemand.ROUTERS)) {
                newest = others;
            }
            others = withoutDoubleCounts(newest);
            refreshedMillis = nowMillis;
        }
    }

    // While another relay takes over, the sums of both contain the same routers, which then seem to be more than there
    // are. Counted twice, their use would empty the buckets and refuse requests within the limit for seconds.
    private Map<Long, AccountDemand> withoutDoubleCounts(Map<Long, AccountDemand> sums) {
        AccountDemand routers = sums.get(AccountDemand.ROUTERS);
        long registered = fleet.registeredRouters() - 1L;
        if (routers == null || registered <= 0 || routers.demandPerSecond() <= registered) {
            return Map.copyOf(sums);
        }
        double share = (double) registered / routers.demandPerSecond();
        return sums.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(
                        Map.Entry::getKey, entry -> entry.getValue().times(share)));
    }
}
