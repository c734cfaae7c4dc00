package io.agatelane.core.fleet.query;

/** Divides the slots of a plain service between the routers, in proportion to the demand of each. */
public final class CallShares {
    // Demand that a router is assumed to have at least, as a share of an equal part: its first calls must not wait for
    // the other routers to learn of them. Small, because it adds to what the others use.
    private static final double MIN_DEMAND_SHARE = 0.1;

    private CallShares() {}

    /**
     * Returns the slots that this router may use.
     *
     * @param slots slots of all upstreams of the service
     * @param ownDemand slots that this router's calls need, those that wait or were refused included
     * @param othersDemand the same for the routers that this one has reports of
     * @param reporting number of routers whose demand is known, this one included
     * @param routers number of registered routers; those that are not known may use their equal parts
     */
    public static double part(double slots, double ownDemand, double othersDemand, int reporting, int routers) {
        int all = Math.max(1, routers);
        double known = Math.min(1, Math.max(1, reporting) / (double) all);
        double own = Math.max(ownDemand, slots / all * MIN_DEMAND_SHARE);
        return own <= 0 ? 0 : slots * known * own / (own + Math.max(0, othersDemand));
    }
}
