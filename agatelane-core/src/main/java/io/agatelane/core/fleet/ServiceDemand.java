package io.agatelane.core.fleet;

/**
 * Demand for a service from one client account at one priority, at one router or summed over several.
 *
 * @param demandMillisPerSecond milliseconds of work per second that callers have requested, refused requests included
 * @param admittedMillisPerSecond milliseconds of work per second that were admitted
 * @param waiting requests that wait in the queue of a router
 * @param inFlight requests that were sent and have not ended
 */
public record ServiceDemand(
        Key key, int demandMillisPerSecond, int admittedMillisPerSecond, int waiting, int inFlight) {
    /**
     * Identifies the requests that a demand is summed over.
     *
     * @param service hash of the service's name
     * @param account hash of the account's name; 0 for requests without an account
     * @param priority 0 is the most urgent
     */
    public record Key(long service, long account, int priority) {
        /**
         * Entry that each router reports with one request in flight, so that the sum over the routers is their number:
         * a relay's digest does not say how many routers it represents.
         */
        public static final Key ROUTERS = new Key(0, 0, 0);
    }

    /** The entry that counts the router which reports it. */
    public static ServiceDemand oneRouter() {
        return new ServiceDemand(Key.ROUTERS, 0, 0, 0, 1);
    }

    /** Returns the sum of two demands of the same key. */
    public ServiceDemand plus(ServiceDemand other) {
        return new ServiceDemand(
                key,
                demandMillisPerSecond + other.demandMillisPerSecond,
                admittedMillisPerSecond + other.admittedMillisPerSecond,
                waiting + other.waiting,
                inFlight + other.inFlight);
    }

    /** Returns the difference of two demands of the same key, with no value below 0. */
    public ServiceDemand minus(ServiceDemand subtracted) {
        return new ServiceDemand(
                key,
                Math.max(0, demandMillisPerSecond - subtracted.demandMillisPerSecond),
                Math.max(0, admittedMillisPerSecond - subtracted.admittedMillisPerSecond),
                Math.max(0, waiting - subtracted.waiting),
                Math.max(0, inFlight - subtracted.inFlight));
    }
}
