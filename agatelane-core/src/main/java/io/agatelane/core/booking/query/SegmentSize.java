package io.agatelane.core.booking.query;

import io.agatelane.core.booking.Booking;
import java.util.Collection;

/** Estimates the size of bookings in the stored format. */
public final class SegmentSize {
    // Upper bound for the tags, lengths, numbers and state of a stored entry.
    private static final int FIXED_BYTES = 64;
    // The digest is a hexadecimal text, two characters a byte. Other characters are counted as one byte each: in UTF-8
    // a character takes at most three bytes, but keys with characters outside ASCII are rare.
    private static final int DIGEST_CHARS_PER_BYTE = 2;

    private SegmentSize() {}

    /** Returns the estimated size in bytes of one entry. */
    public static int of(Booking booking) {
        int responseBytes = booking.response()
                .map(response -> response.body().length + response.contentType().length())
                .orElse(0);
        return FIXED_BYTES
                + booking.key().canonical().length()
                + booking.attempt().vmName().length()
                + booking.requestDigest().length() / DIGEST_CHARS_PER_BYTE
                + responseBytes;
    }

    /** Returns the estimated size in bytes of several entries. */
    public static int of(Collection<Booking> bookings) {
        return bookings.stream().mapToInt(SegmentSize::of).sum();
    }
}
