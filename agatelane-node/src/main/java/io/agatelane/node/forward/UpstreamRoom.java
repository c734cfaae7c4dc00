package io.agatelane.node.forward;

import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.node.fleet.FleetSnapshot;
import java.util.Set;

/** Which upstreams have room for a request's body, among the bytes that this router has in flight to them. */
final class UpstreamRoom {
    private UpstreamRoom() {}

    /** Returns the keys of the upstreams that a request was sent to, and of those that have no room for its body. */
    static Set<String> excluded(
            ForwardContext context,
            FleetSnapshot snapshot,
            String service,
            String id,
            Set<String> tried,
            int bodyBytes) {
        Set<String> excluded = context.upstreamBytes().withFull(tried, bodyBytes);
        if (excluded.size() > tried.size()) {
            long full = snapshot.usable(service).stream()
                    .map(FleetUpstream::key)
                    .filter(key -> excluded.contains(key) && !tried.contains(key))
                    .count();
            if (full > 0) {
                ForwardLog.upstreamBytesFull(context, id, full, bodyBytes);
            }
        }
        return excluded;
    }
}
