package io.agatelane.lab.engine;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Store of KV-cache blocks in this process; drops the oldest blocks over its limit. */
public final class LocalKvBlockStore implements KvBlockStore {
    private final Set<String> saved;
    private int loads;

    public LocalKvBlockStore(int maxBlocks) {
        saved = Collections.newSetFromMap(new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > maxBlocks;
            }
        });
    }

    @Override
    public synchronized CompletableFuture<Void> save(List<String> keys) {
        saved.addAll(keys);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public synchronized CompletableFuture<List<String>> find(List<String> keys) {
        return CompletableFuture.completedFuture(
                keys.stream().filter(saved::contains).toList());
    }

    @Override
    public synchronized CompletableFuture<Integer> addRunningLoads(int delta) {
        loads = Math.max(0, loads + delta);
        return CompletableFuture.completedFuture(loads);
    }
}
