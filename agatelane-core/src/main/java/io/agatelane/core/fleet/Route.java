package io.agatelane.core.fleet;

import java.util.List;

/**
 * A rule that sends the requests of a host and a path prefix to services.
 *
 * @param host host in lower case, without port
 * @param pathPrefix begins and ends with a slash
 * @param maxUpstreams most upstreams that one request may be sent to
 * @param timeoutMillis longest time that a caller is kept waiting
 * @param latencyObjectiveMillis time within which an answer is fully useful
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

    /** Whether a request whose first run may have begun may be sent once more. */
    public boolean mayRunAgain() {
        return kind.mayRunAgain(resumable);
    }

    /**
     * Picks a service by weight.
     *
     * @param unit a number from 0 (inclusive) to 1 (exclusive)
     */
    public String serviceFor(double unit) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double left = unit * total;
        for (WeightedService candidate : services) {
            left -= candidate.weight();
            if (left < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
