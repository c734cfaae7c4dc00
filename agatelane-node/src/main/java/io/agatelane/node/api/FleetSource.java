package io.agatelane.node.api;

import java.util.concurrent.CompletableFuture;

/**
 * Reads what the operator, the upstreams and the routers have written to the platform's store.
 *
 * <p>A read always includes all entries of the operator and of the routers. The directory, the entries of the upstreams,
 * can be longer than one read returns; the rest is read page by page, so that neither the memory of a read nor the time
 * to the operator's entries grows with it.
 */
public interface FleetSource {
    /** Prefix of the keys that routers write. */
    String ROUTER_PREFIX = "agatelane/";

    /**
     * Reads the newest state. The result includes every write that completed before the call.
     *
     * @return fails with {@code PLATFORM_UNAVAILABLE} when the store returned no usable response
     */
    CompletableFuture<FleetReadResult> read();

    /**
     * Reads a state that may lack recent writes, which is cheaper for the store. Sources without such reads return the
     * newest state.
     *
     * @return fails as {@link #read} does
     */
    default CompletableFuture<FleetReadResult> readPossiblyStale() {
        return read();
    }

    /**
     * Reads the page of the directory that begins after a key. Sources whose reads always return the whole directory need
     * not implement this.
     *
     * @param after as returned by the read or the page before
     * @param mayBeStale whether the page may lack recent writes
     * @return fails as {@link #read} does
     */
    default CompletableFuture<DirectoryPage> readDirectory(String after, boolean mayBeStale) {
        throw new UnsupportedOperationException("this source returns the whole directory with each read");
    }
}
