package io.agatelane.core.booking.command;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.Booking;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.LoadedPartition;
import io.agatelane.core.booking.SealedRef;
import io.agatelane.core.booking.Segment;
import io.agatelane.core.booking.ServiceResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Bookings of the partition as last read or written. An entry of the open segment overrides one of a sealed segment.
 */
final class BookingTable {
    private final long retentionMillis;
    private final int responseCacheBytes;
    private final Map<BookingKey, Booking> open = new LinkedHashMap<>();
    private final Map<String, Segment> sealedSegments = new LinkedHashMap<>();
    private final Map<BookingKey, Booking> sealedBookings = new HashMap<>();
    private final Map<AttemptId, ServiceResponse> longResponses = new LinkedHashMap<>();
    private List<SealedRef> sealedRefs = List.of();
    private int longResponseBytes;
    private long number;
    private long revision;

    BookingTable(long retentionMillis, int responseCacheBytes) {
        this.retentionMillis = retentionMillis;
        this.responseCacheBytes = responseCacheBytes;
    }

    long revision() {
        return revision;
    }

    long number() {
        return number;
    }

    List<SealedRef> sealedRefs() {
        return sealedRefs;
    }

    Set<String> sealedNames() {
        return Set.copyOf(sealedSegments.keySet());
    }

    /** Returns the entries of the open segment that have not expired. */
    List<Booking> openBookings(long nowEpochMillis) {
        List<Booking> result = new ArrayList<>(open.size());
        for (Booking booking : open.values()) {
            if (!booking.isExpired(nowEpochMillis, retentionMillis)) {
                result.add(booking);
            }
        }
        return result;
    }

    /** Returns all bookings in memory that have not expired. */
    List<Booking> allBookings(long nowEpochMillis) {
        Map<BookingKey, Booking> all = new HashMap<>(sealedBookings);
        all.putAll(open);
        all.values().removeIf(booking -> booking.isExpired(nowEpochMillis, retentionMillis));
        return List.copyOf(all.values());
    }

    /** Returns the booking recorded for a key; null when there is none or its retention time has ended. */
    Booking find(BookingKey key, long nowEpochMillis) {
        Booking booking = open.getOrDefault(key, sealedBookings.get(key));
        return booking == null || booking.isExpired(nowEpochMillis, retentionMillis) ? null : booking;
    }

    /** Returns whether the content of every sealed segment that the open segment lists is in memory. */
    boolean isComplete() {
        return sealedRefs.stream().allMatch(ref -> sealedSegments.containsKey(ref.name()));
    }

    /** Replaces the content with that of a partition read from the store. */
    void load(LoadedPartition loaded) {
        sealedSegments.putAll(loaded.sealed());
        replaceOpenSegment(loaded.revision(), loaded.open());
    }

    /** Replaces the open segment with one that was written or read. */
    void replaceOpenSegment(long newRevision, Segment segment) {
        revision = newRevision;
        number = segment.number();
        open.clear();
        segment.entries().forEach(booking -> open.put(booking.key(), booking));
        List<String> names = segment.sealed().stream().map(SealedRef::name).toList();
        boolean sameSealed = sealedRefs.equals(segment.sealed());
        sealedRefs = segment.sealed();
        if (!sameSealed) {
            sealedSegments.keySet().retainAll(names);
            rebuildSealedBookings();
        }
    }

    /** Adds the content of a segment that this router has sealed. */
    void addSealed(String name, Segment segment) {
        sealedSegments.put(name, segment);
    }

    /** Returns the response of a finished booking if it is in memory, else null. */
    ServiceResponse response(Booking booking) {
        return booking.response().orElseGet(() -> longResponses.get(booking.attempt()));
    }

    /**
     * Caches a long response. The oldest ones are evicted while the total exceeds the limit; the newest one always
     * stays.
     */
    void cacheResponse(AttemptId attempt, ServiceResponse response) {
        if (longResponses.putIfAbsent(attempt, response) != null) {
            return;
        }
        longResponseBytes += response.body().length;
        var oldest = longResponses.entrySet().iterator();
        while (longResponseBytes > responseCacheBytes && longResponses.size() > 1) {
            longResponseBytes -= oldest.next().getValue().body().length;
            oldest.remove();
        }
    }

    private void rebuildSealedBookings() {
        sealedBookings.clear();
        for (SealedRef ref : sealedRefs) {
            Segment segment = sealedSegments.get(ref.name());
            if (segment != null) {
                segment.entries().forEach(booking -> sealedBookings.put(booking.key(), booking));
            }
        }
    }
}
