package io.agatelane.node.api;

import io.agatelane.core.hash.Rendezvous;
import java.util.List;

/**
 * Identifies the content of one read of the store, so that two routers can compare whether they read the same entries.
 *
 * @param operator entries that the operator writes: configuration and requested weights versions
 * @param upstreams entries that the upstreams write
 */
public record StoreContent(Part operator, Part upstreams) {
    /** Nothing was read yet. */
    public static final StoreContent NONE = new StoreContent(Part.NONE, Part.NONE);

    /**
     * Identifies a set of entries. Each write raises the newest revision; a removal changes only the digest.
     *
     * @param newestRevision highest revision of an entry
     * @param digest hash of the keys and revisions of all entries, independent of their order
     */
    public record Part(long newestRevision, long digest) {
        /** No entries. */
        public static final Part NONE = new Part(0, 0);

        /** Computes the identity of a set of entries. */
        public static Part of(List<KeyValue> items) {
            long newest = 0;
            long digest = 0;
            for (KeyValue item : items) {
                newest = Math.max(newest, item.revision());
                digest += Rendezvous.weight(Rendezvous.hash(item.key()), item.revision());
            }
            return new Part(newest, digest);
        }

        /** Returns whether another read may have seen a newer state of these entries than this one. */
        public boolean mayBeOlderThan(Part other) {
            return !equals(other) && other.newestRevision >= newestRevision;
        }
    }
}
