package io.agatelane.core.fleet;

import java.util.List;

/**
 * Routing entry that distributes the requests for a host and a path prefix over services.
 *
 * @param host host in lower case, without port
 * @param pathPrefix begins and ends with a slash
 * @param maxUpstreams maximum number of upstreams that one request may be sent to
 * @param timeoutMillis maximum time that a caller waits for a response
 * @param latencyObjectiveMillis time within which a response has its full value
 * @param priority 0 is the most urgent
 * @param isPublic whether requests need no API key
 * @param resumable whether a broken stream may continue on another upstream
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        int maxUpstreams,
        long timeoutMillis,
        long latencyObjectiveMillis,
        int priority,
        List<WeightedService> services,
        boolean isPublic,
        boolean resumable) {
    public Route {
        services = List.copyOf(services);
    }

    /** Whether a request may be sent again when an earlier attempt may already have started to run. */
    public boolean mayRunAgain() {
        return kind.mayRunAgain(resumable);
    }

    /**
     * Picks a service by weight.
     *
     * @param fraction uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
     */
    public String serviceFor(double fraction) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double remaining = fraction * total;
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
