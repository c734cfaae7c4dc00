package io.agatelane.core.routing.query;

import io.agatelane.core.routing.LoadReport;
import io.agatelane.core.routing.UpstreamState;

/** Computes the number of preferred engines of a prefix. */
public final class PreferredUpstreamCount {
    private static final double MILLIS_PER_SECOND = 1_000;
    // Engines are added before the present ones are fully used, because the new ones have to prefill the prefix first.
    private static final double TARGET_UTILISATION = 0.5;

    private PreferredUpstreamCount() {}

    /**
     * Returns the number of engines, 2 to 8, whose slots the requests with the prefix occupy to one half.
     *
     * @param perSecond requests per second with the prefix on this router
     * @param routers routers that share the traffic
     * @param typical an engine of the model, whose service time stands for all engines
     */
    public static int of(double perSecond, int routers, UpstreamState typical, LoadReport report) {
        double busySlots = perSecond * routers * typical.serviceMillis() / MILLIS_PER_SECOND;
        int engines = (int) Math.ceil(busySlots / (report.slots() * TARGET_UTILISATION));
        return Math.max(EngineChooser.MIN_PREFERRED, Math.min(EngineChooser.MAX_PREFERRED, engines));
    }
}
