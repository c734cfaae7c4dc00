package io.agatelane.node.api;

import io.agatelane.core.fleet.FleetView;
import java.util.List;

/**
 * The result of one read of the store.
 *
 * @param view what the operator and the upstreams have written
 * @param content identifies the entries from which the view was built
 * @param routerEntries what the routers themselves have written
 */
public record FleetReadResult(FleetView view, StoreContentId content, List<KeyValue> routerEntries) {
    public FleetReadResult {
        routerEntries = List.copyOf(routerEntries);
    }
}
