package io.agatelane.node.api;

import io.agatelane.core.hash.Rendezvous;
import java.util.List;

/**
 * Identifies the content of one read of the store, so that two routers can compare whether they read the same entries.
 *
 * <p>The revisions of two eras cannot be compared, because the store gives them out again. Within the entries they are
 * those that the store gave out, so that a process which does not know eras compares them as before.
 *
 * @param era era of the store in which the entries were read; 0 for a store without eras
 * @param operatorEntries entries that the operator writes: configuration and requested weights versions
 * @param upstreamEntries entries that the upstreams write
 */
public record StoreContentId(long era, EntrySetId operatorEntries, EntrySetId upstreamEntries) {
    /** Nothing was read yet. */
    public static final StoreContentId NONE = new StoreContentId(0, EntrySetId.NONE, EntrySetId.NONE);

    /** Returns whether another read has seen the same entries of the operator. */
    public boolean hasSameOperatorEntries(StoreContentId other) {
        return era == other.era && operatorEntries.equals(other.operatorEntries);
    }

    /** Returns whether another read may have seen a newer state of the operator's entries than this one. */
    public boolean operatorEntriesMayBeOlderThan(StoreContentId other) {
        return mayBeOlderThan(other, operatorEntries, other.operatorEntries);
    }

    /** Returns whether another read may have seen a newer state of the upstreams' entries than this one. */
    public boolean upstreamEntriesMayBeOlderThan(StoreContentId other) {
        return mayBeOlderThan(other, upstreamEntries, other.upstreamEntries);
    }

    private boolean mayBeOlderThan(StoreContentId other, EntrySetId own, EntrySetId others) {
        return other.era > era || (other.era == era && own.mayBeOlderThan(others));
    }

    /**
     * Identifies a set of entries of one era. Each write raises the newest revision; a removal changes only the digest.
     *
     * @param newestRevision highest revision of an entry
     * @param digest hash of the keys and revisions of all entries, independent of their order
     */
    public record EntrySetId(long newestRevision, long digest) {
        /** No entries. */
        public static final EntrySetId NONE = new EntrySetId(0, 0);

        /** Computes the identity of a set of entries. */
        public static EntrySetId of(List<KeyValue> items) {
            return items.stream().map(item -> of(item.key(), item.revision())).reduce(NONE, EntrySetId::union);
        }

        /** Computes the identity of the set of one entry, whose revision is qualified with its era. */
        public static EntrySetId of(String key, long revision) {
            long number = StoreEra.number(revision);
            return new EntrySetId(number, Rendezvous.weight(Rendezvous.hash(key), number));
        }

        /** Returns the identity of the union of two disjoint sets of entries. */
        public EntrySetId union(EntrySetId other) {
            return new EntrySetId(Math.max(newestRevision, other.newestRevision), digest + other.digest);
        }

        private boolean mayBeOlderThan(EntrySetId other) {
            return !equals(other) && other.newestRevision >= newestRevision;
        }
    }
}
