package io.agatelane.node.api;

import io.agatelane.core.fleet.FleetUpstream;
import java.util.List;
import java.util.Optional;

/**
 * One page of the upstreams' entries in the store.
 *
 * @param upstreams the upstreams of the entries that could be decoded
 * @param entries identifies all entries of the page
 * @param era era of the store in which the page was read
 * @param next the key after which the next page begins; empty for the last page
 */
public record DirectoryPage(
        List<FleetUpstream> upstreams, StoreContentId.EntrySetId entries, long era, Optional<String> next) {
    public DirectoryPage {
        upstreams = List.copyOf(upstreams);
    }
}
