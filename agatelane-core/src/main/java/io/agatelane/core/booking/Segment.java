package io.agatelane.core.booking;

import java.util.List;

/**
 * Content of a segment: the bookings of a partition that one value of the platform's store holds. A partition has one
 * open segment, which changes, and sealed segments, which do not.
 *
 * @param sealed sealed segments whose retention time has not ended, oldest first; empty in a sealed segment
 * @param writer identifies the commit, so that a router that lost the store's response recognises its own write
 */
public record Segment(long number, List<Booking> entries, List<SealedRef> sealed, String writer) {
    public Segment {
        entries = List.copyOf(entries);
        sealed = List.copyOf(sealed);
    }

    /** Returns the open segment of a partition that was never written. */
    public static Segment empty() {
        return new Segment(0, List.of(), List.of(), "");
    }
}
