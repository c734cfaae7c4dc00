package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.ServiceDemand;
import io.agatelane.core.fleet.ServiceDemand.Key;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

/**
 * Shares of a service of engines, whose capacity is not configured: it is estimated from the work that all routers admit
 * while requests wait or are refused for lack of room. Thread-safe.
 */
public final class EngineShares {
    private static final double REFUSED_MILLIS = 1_000;

    private final long service;
    private final ServiceShares shares;
    private final CapacityEstimate capacity = new CapacityEstimate();
    private final DecayedSum refused = new DecayedSum(REFUSED_MILLIS);

    /**
     * Creates the state of one service.
     *
     * @param service hash of the service's name
     */
    public EngineShares(long service, RandomGenerator random) {
        this.service = service;
        this.shares = new ServiceShares(service, random);
    }

    /** Identifies the requests of an account and a priority. */
    public Key key(long account, int priority) {
        return shares.key(account, priority);
    }

    /**
     * Counts a request as demand and decides about it.
     *
     * @param others what the other routers have reported
     * @param waiting requests that wait in this router
     * @param inFlight requests of this router that are in flight
     * @return empty when the request is admitted
     */
    public synchronized Optional<ServiceShares.Refusal> offer(
            Key key, double workMillis, Map<Key, ServiceDemand> others, int waiting, int inFlight, long nowMillis) {
        long allWaiting = waiting + Math.round(refused.perSecond(nowMillis));
        long allInFlight = inFlight;
        double admitted = shares.admittedMillisPerSecond(nowMillis);
        for (ServiceDemand other : others.values()) {
            if (other.key().service() == service) {
                allWaiting += other.waiting();
                allInFlight += other.inFlight();
                admitted += other.admittedMillisPerSecond();
            }
        }
        capacity.record(allWaiting, allInFlight, admitted, nowMillis);
        return shares.offer(key, workMillis, others, capacity.capacity(nowMillis), nowMillis);
    }

    /** Counts a request that was sent to an engine for the first time. */
    public void recordAdmitted(Key key, double workMillis, long nowMillis) {
        shares.recordAdmitted(key, workMillis, nowMillis);
    }

    /** Counts a request that was refused because no engine has room for it in time. */
    public synchronized void recordNoRoom(long nowMillis) {
        refused.add(1, nowMillis);
    }

    /** Work per second in milliseconds that the engines do; empty while they are not saturated. */
    public OptionalDouble capacity(long nowMillis) {
        return capacity.capacity(nowMillis);
    }

    /**
     * Returns the demand to report to the other routers; by account only while the engines are saturated, because
     * digests are small.
     */
    public synchronized List<ServiceDemand> demands(int maxKeys, int waiting, int inFlight, long nowMillis) {
        int waitingOrRefused = waiting + (int) Math.round(refused.perSecond(nowMillis));
        int keys = capacity.capacity(nowMillis).isPresent() ? maxKeys : 0;
        return shares.demands(keys, waitingOrRefused, inFlight, nowMillis);
    }
}
