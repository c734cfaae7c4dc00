package io.agatelane.node.api;

import io.agatelane.core.hash.Rendezvous;
import java.util.List;

/**
 * Identifies what the operator and the upstreams have written, so that two routers can tell whether they have read the
 * same. Each write raises the newest revision; a removal shows only in the digest.
 *
 * @param newestRevision highest revision of an entry
 * @param digest over the keys and revisions of all entries, whatever their order
 */
public record StoreContent(long newestRevision, long digest) {
    /** Nothing was read yet. */
    public static final StoreContent NONE = new StoreContent(0, 0);

    /** The content of a read. */
    public static StoreContent of(List<KeyValue> items) {
        long newest = 0;
        long digest = 0;
        for (KeyValue item : items) {
            newest = Math.max(newest, item.revision());
            digest += Rendezvous.weight(Rendezvous.hash(item.key()), item.revision());
        }
        return new StoreContent(newest, digest);
    }
}
