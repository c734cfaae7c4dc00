package io.agatelane.node.api;

import io.agatelane.core.hash.Rendezvous;
import java.util.List;

/**
 * Identifies what was read from the store, so that two routers can tell whether they have read the same.
 *
 * @param operator configuration and named weights
 * @param upstreams entries of the upstreams
 */
public record StoreContent(Part operator, Part upstreams) {
    /** Nothing was read yet. */
    public static final StoreContent NONE = new StoreContent(Part.NONE, Part.NONE);

    /**
     * Identifies entries. Each write raises the newest revision; a removal shows only in the digest.
     *
     * @param newestRevision highest revision of an entry
     * @param digest over the keys and revisions of all entries, whatever their order
     */
    public record Part(long newestRevision, long digest) {
        /** No entries. */
        public static final Part NONE = new Part(0, 0);

        /** The part that some entries make. */
        public static Part of(List<KeyValue> items) {
            long newest = 0;
            long digest = 0;
            for (KeyValue item : items) {
                newest = Math.max(newest, item.revision());
                digest += Rendezvous.weight(Rendezvous.hash(item.key()), item.revision());
            }
            return new Part(newest, digest);
        }

        /** Whether another reading of the same entries may be newer than this one. */
        public boolean mayBeOlderThan(Part other) {
            return !equals(other) && other.newestRevision >= newestRevision;
        }
    }
}
