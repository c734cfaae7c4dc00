package io.agatelane.lab.engine;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Fleet-wide store of saved KV-cache blocks; also counts the weight loads that run at once in the fleet. */
public interface KvBlockStore {
    /** Saves the blocks with these keys. */
    CompletableFuture<Void> save(List<String> keys);

    /** Returns those of the keys whose blocks are saved. */
    CompletableFuture<List<String>> find(List<String> keys);

    /** Adds to the number of running weight loads (1 for a start, -1 for an end) and returns the new number. */
    CompletableFuture<Integer> addRunningLoads(int delta);
}
