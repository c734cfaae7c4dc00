package io.agatelane.core.model;

import java.util.List;

/**
 * An engine or an instance of a plain service.
 *
 * @param baseUrl {@code http://IP:PORT}
 * @param models models that the engine serves; empty for a service instance
 * @param service plain service that the instance belongs to; empty for an engine
 * @param checksFencing whether the engine refuses orders with an old fencing number
 */
public record Upstream(
        String name,
        String baseUrl,
        String availabilityZone,
        List<String> models,
        String service,
        int slots,
        boolean checksFencing,
        boolean draining) {
    public Upstream {
        models = List.copyOf(models);
    }

    public boolean isEngine() {
        return service.isEmpty();
    }
}
