package io.agatelane.lab.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;

/** Sends requests to routers in turn, as a load balancer in front of them does. */
public final class RouterTarget implements LoadTarget {
    private final List<String> routerUrls;
    private final List<String> apiKeys;
    private final String bookingPath;

    /** Creates a target over routers and the API keys of the client accounts. */
    public RouterTarget(List<String> routerUrls, List<String> apiKeys, String bookingPath) {
        this.routerUrls = List.copyOf(routerUrls);
        this.apiKeys = List.copyOf(apiKeys);
        this.bookingPath = bookingPath;
    }

    @Override
    public Call prepareCall(Arrival arrival, ObjectNode body) {
        String url = routerUrls.get(arrival.index() % routerUrls.size());
        String authorization = "Bearer " + apiKeys.get(arrival.account() % apiKeys.size());
        if (arrival.workloadClass().isBooking()) {
            return new Call(
                    url + bookingPath, Map.of("Authorization", authorization, "Idempotency-Key", arrival.key()));
        }
        return new Call(url + "/v1/chat/completions", Map.of("Authorization", authorization));
    }
}
