package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.ServiceDemand;
import io.agatelane.core.fleet.ServiceDemand.Key;
import io.agatelane.core.fleet.query.FairShares;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

/**
 * Demand for one service at this router by account and priority, and the admission of requests by their fair shares (see
 * {@link FairShares}). Thread-safe.
 *
 * <p>Each request of an account and a priority is admitted with the same frequency, whatever its size: a counter carries
 * the fractions over, so that of any ten requests with a fraction of 0.7 seven are admitted.
 */
public final class ServiceShares {
    // Time constant of the demand: some digests, so that the other routers' values are of the same time.
    private static final double DEMAND_MILLIS = 1_000;
    // Digests come every 200 ms.
    private static final long REFRESH_MILLIS = 100;
    // A demand that has decayed to this share of one request per second is forgotten.
    private static final double FORGOTTEN_MILLIS = 0.01;
    // Refused callers come back within this time at the most; capacity may be free again by then.
    private static final long MAX_RETRY_SPREAD_MILLIS = 3_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final long service;
    private final RandomGenerator random;
    private final Map<Key, Usage> usages = new HashMap<>();
    private Map<Key, Double> fractions = Map.of();
    private long refreshedMillis = Long.MIN_VALUE;

    private static final class Usage {
        private final DecayedSum demand = new DecayedSum(DEMAND_MILLIS);
        private final DecayedSum admitted = new DecayedSum(DEMAND_MILLIS);
        private double carry;
    }

    /**
     * A refusal of a request by the share of its account and priority.
     *
     * @param fraction part of the demand that is admitted
     */
    public record Refusal(double fraction, long retryAfterMillis) {}

    /**
     * Creates the state of one service.
     *
     * @param service hash of the service's name
     * @param random spreads the times at which refused callers come back, and the counters of the routers
     */
    public ServiceShares(long service, RandomGenerator random) {
        this.service = service;
        this.random = random;
    }

    /** Identifies the requests of an account and a priority. */
    public Key key(long account, int priority) {
        return new Key(service, account, priority);
    }

    /**
     * Counts a request as demand and decides about it.
     *
     * @param workMillis expected work of the request
     * @param others demand of the other routers
     * @param capacity work per second in milliseconds; empty while the service is not saturated
     * @return empty when the request is admitted
     */
    public synchronized Optional<Refusal> offer(
            Key key, double workMillis, Map<Key, ServiceDemand> others, OptionalDouble capacity, long nowMillis) {
        Usage usage = usages.computeIfAbsent(key, unused -> {
            Usage created = new Usage();
            created.carry = random.nextDouble();
            return created;
        });
        usage.demand.add(workMillis, nowMillis);
        refresh(others, capacity, nowMillis);
        double fraction = fractions.getOrDefault(key, 1.0);
        if (capacity.isEmpty() || fraction >= 1) {
            return Optional.empty();
        }
        usage.carry += fraction;
        if (usage.carry >= 1) {
            usage.carry--;
            return Optional.empty();
        }
        double spread = Math.min(MAX_RETRY_SPREAD_MILLIS, MILLIS_PER_SECOND / Math.max(fraction, Double.MIN_NORMAL));
        return Optional.of(new Refusal(fraction, Math.round(random.nextDouble() * spread)));
    }

    /** Counts a request that was sent to an upstream for the first time. */
    public synchronized void recordAdmitted(Key key, double workMillis, long nowMillis) {
        usages.computeIfAbsent(key, unused -> new Usage()).admitted.add(workMillis, nowMillis);
    }

    /** Whether an account is within its share while others are not. */
    public synchronized boolean isPreferred(Key key) {
        return !fractions.isEmpty() && fractions.getOrDefault(key, 1.0) >= 1;
    }

    /** Work per second that is admitted of the other routers' demand. */
    public synchronized double admittedOf(Map<Key, ServiceDemand> others) {
        return others.values().stream()
                .filter(demand -> demand.key().service() == service)
                .mapToDouble(demand -> demand.demandMillisPerSecond() * fractions.getOrDefault(demand.key(), 1.0))
                .sum();
    }

    /** Milliseconds of work per second that were admitted here. */
    public synchronized double admittedMillisPerSecond(long nowMillis) {
        return usages.values().stream()
                .mapToDouble(usage -> usage.admitted.perSecond(nowMillis))
                .sum();
    }

    /**
     * Returns the demand to report to the other routers: the largest ones by account and priority, and the sum of the
     * rest under account 0.
     *
     * @param maxKeys number of demands to report by account
     */
    public synchronized List<ServiceDemand> demands(int maxKeys, int waiting, int inFlight, long nowMillis) {
        usages.values()
                .removeIf(usage -> usage.demand.perSecond(nowMillis) < FORGOTTEN_MILLIS
                        && usage.admitted.perSecond(nowMillis) < FORGOTTEN_MILLIS);
        List<ServiceDemand> sorted = usages.entrySet().stream()
                .map(entry -> new ServiceDemand(
                        entry.getKey(),
                        (int) Math.round(entry.getValue().demand.perSecond(nowMillis)),
                        (int) Math.round(entry.getValue().admitted.perSecond(nowMillis)),
                        0,
                        0))
                .sorted(Comparator.comparingInt(ServiceDemand::demandMillisPerSecond)
                        .reversed())
                .toList();
        List<ServiceDemand> reported = new ArrayList<>();
        Key restKey = key(0, 0);
        ServiceDemand rest = new ServiceDemand(restKey, 0, 0, waiting, inFlight);
        for (ServiceDemand demand : sorted) {
            if (reported.size() < maxKeys && demand.key().account() != 0) {
                reported.add(demand);
            } else {
                rest = rest.plus(demand);
            }
        }
        reported.add(rest);
        return reported;
    }

    private void refresh(Map<Key, ServiceDemand> others, OptionalDouble capacity, long nowMillis) {
        if (capacity.isEmpty()) {
            fractions = Map.of();
            refreshedMillis = Long.MIN_VALUE;
            return;
        }
        if (refreshedMillis != Long.MIN_VALUE && nowMillis - refreshedMillis < REFRESH_MILLIS) {
            return;
        }
        Map<Key, Double> demand = new HashMap<>();
        usages.forEach((key, usage) -> demand.put(key, usage.demand.perSecond(nowMillis)));
        others.forEach((key, other) -> {
            if (key.service() == service) {
                demand.merge(key, (double) other.demandMillisPerSecond(), Double::sum);
            }
        });
        // With one account and one priority there is nothing to divide; the room at the upstreams decides.
        fractions = demand.size() < 2 ? Map.of() : FairShares.fractions(capacity.getAsDouble(), demand);
        refreshedMillis = nowMillis;
    }
}
