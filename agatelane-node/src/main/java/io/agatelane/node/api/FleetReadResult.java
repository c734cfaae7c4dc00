package io.agatelane.node.api;

import io.agatelane.core.fleet.FleetView;
import java.util.List;
import java.util.Optional;

/**
 * The result of one read of the store.
 *
 * @param view what the operator and the upstreams have written
 * @param content identifies the entries from which the view was built
 * @param routerEntries what the routers themselves have written
 * @param restOfDirectory the key after which the upstreams continue that the view lacks; empty if it lacks none
 */
public record FleetReadResult(
        FleetView view, StoreContentId content, List<KeyValue> routerEntries, Optional<String> restOfDirectory) {
    public FleetReadResult {
        routerEntries = List.copyOf(routerEntries);
    }

    /** Creates the result of a read that includes all upstreams. */
    public FleetReadResult(FleetView view, StoreContentId content, List<KeyValue> routerEntries) {
        this(view, content, routerEntries, Optional.empty());
    }

    /** Returns a copy with other entries of the routers. */
    public FleetReadResult withRouterEntries(List<KeyValue> entries) {
        return new FleetReadResult(view, content, entries, restOfDirectory);
    }
}
