package io.agatelane.core.routing;

/** Consistent copy of an engine's load. Mutable, to be reused without allocation. */
public final class LoadView {
    private LoadReport report;
    private int requests;
    private int longInFlight;
    private long pendingPrefillTokens;
    private double serviceMillis;
    private long lastProbeMillis;

    void set(
            LoadReport newReport,
            int newRequests,
            int newLongInFlight,
            long newPendingPrefillTokens,
            double newServiceMillis,
            long newLastProbeMillis) {
        report = newReport;
        requests = newRequests;
        longInFlight = newLongInFlight;
        pendingPrefillTokens = newPendingPrefillTokens;
        serviceMillis = newServiceMillis;
        lastProbeMillis = newLastProbeMillis;
    }

    public LoadReport report() {
        return report;
    }

    /**
     * Returns the number of requests on the engine: the reported number corrected by this router's requests since then.
     */
    public int requests() {
        return requests;
    }

    /** Returns the number of long requests of this router on the engine. */
    public int longInFlight() {
        return longInFlight;
    }

    /** Returns the number of prompt tokens to be prefilled for this router's requests without a first token. */
    public long pendingPrefillTokens() {
        return pendingPrefillTokens;
    }

    public double serviceMillis() {
        return serviceMillis;
    }

    /** Returns the time of the last probe during a probation. */
    public long lastProbeMillis() {
        return lastProbeMillis;
    }
}
