package io.agatelane.core.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * A range of upstream hashes, both ends included, in the order of signed integers. Part of a digest that was sent in
 * several datagrams.
 */
public record UpstreamRange(long first, long last) {
    /** Contains all upstreams. */
    public static final UpstreamRange ALL = new UpstreamRange(Long.MIN_VALUE, Long.MAX_VALUE);

    /** Contains no upstream. */
    public static final UpstreamRange NONE = new UpstreamRange(Long.MAX_VALUE, Long.MIN_VALUE);

    public boolean isEmpty() {
        return first > last;
    }

    public boolean contains(long upstream) {
        return first <= upstream && upstream <= last;
    }

    /** Returns the parts of this range that are not in another one: none, one or two. */
    public List<UpstreamRange> minus(UpstreamRange other) {
        if (isEmpty() || other.isEmpty() || other.first > last || other.last < first) {
            return isEmpty() ? List.of() : List.of(this);
        }
        List<UpstreamRange> remaining = new ArrayList<>();
        if (first < other.first) {
            remaining.add(new UpstreamRange(first, other.first - 1));
        }
        if (other.last < last) {
            remaining.add(new UpstreamRange(other.last + 1, last));
        }
        return remaining;
    }
}
