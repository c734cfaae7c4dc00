package io.agatelane.core.routing.query;

import io.agatelane.core.routing.LoadReport;
import io.agatelane.core.routing.LoadView;

/** Estimates the times that a request waits and is prefilled on an engine. */
public final class LoadEstimate {
    private static final double MILLIS_PER_SECOND = 1_000;

    private LoadEstimate() {}

    /**
     * Returns the expected time until the engine starts to process a new request: the wait for a slot or the prefills
     * of this router's earlier requests, whichever is longer, because both proceed at the same time.
     */
    public static double queueMillis(LoadView load) {
        LoadReport report = load.report();
        int ahead = load.requests() - report.slots() + 1;
        double slotMillis = Math.max(0, ahead) * load.serviceMillis() / report.slots();
        double prefillMillis = prefillMillis(report, (double) load.pendingPrefillTokens());
        return Math.max(slotMillis, prefillMillis);
    }

    /** Returns the time to prefill a number of prompt tokens. */
    public static double prefillMillis(LoadReport report, double tokens) {
        return tokens * MILLIS_PER_SECOND / report.prefillTokensPerSecond();
    }
}
