package io.agatelane.lab.engine;

import io.agatelane.lab.http.LabClient;

/** Creates stores of saved KV-cache blocks. */
public final class KvBlockStores {
    private static final int MAX_BLOCKS = 100_000;

    private KvBlockStores() {}

    /** Returns a store in this process for an empty URL, else a client of the store in another engine process. */
    public static KvBlockStore at(String url) {
        return url.isEmpty() ? new LocalKvBlockStore(MAX_BLOCKS) : new RemoteKvBlockStore(new LabClient(), url);
    }
}
