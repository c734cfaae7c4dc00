package io.agatelane.lab.engine;

import io.agatelane.lab.http.LabClient;

/** Creates stores of saved KV-cache blocks. */
public final class KeptStores {
    private static final int MAX_BLOCKS = 100_000;

    private KeptStores() {}

    /** Returns a store in this process for an empty URL, else a client of the store in another engine process. */
    public static KeptStore at(String url) {
        return url.isEmpty() ? new LocalKeptStore(MAX_BLOCKS) : new RemoteKvBlockStore(new LabClient(), url);
    }
}
