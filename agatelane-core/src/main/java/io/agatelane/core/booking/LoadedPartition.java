package io.agatelane.core.booking;

import java.util.Map;

/**
 * Content of a partition as read from the platform's store.
 *
 * @param revision revision of the open segment; 0 when it does not exist
 * @param sealed content of the requested sealed segments, by name
 */
public record LoadedPartition(long revision, Segment open, Map<String, Segment> sealed) {
    public LoadedPartition {
        sealed = Map.copyOf(sealed);
    }
}
