package io.agatelane.lab.engine;

import io.agatelane.core.hash.PromptDigests;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Cache of prompt blocks that evicts the least recently used ones.
 *
 * <p>A digest includes the salt, so that only requests with the same salt find a block.
 */
final class PrefixCache {
    private final int capacity;
    private final BiConsumer<String, List<Long>> onEvicted;
    private final LinkedHashMap<Long, String> saltByDigest = new LinkedHashMap<>(64, 0.75f, true);

    PrefixCache(int capacity, BiConsumer<String, List<Long>> onEvicted) {
        this.capacity = capacity;
        this.onEvicted = onEvicted;
    }

    /** Returns the number of leading blocks that are cached and marks them as used. */
    int match(String salt, PromptDigests digests) {
        int matched = 0;
        while (matched < digests.blockCount() && salt.equals(saltByDigest.get(digests.digest(matched)))) {
            matched++;
        }
        // Marks the last block as used first, so that a shared prefix is evicted after the blocks that follow it.
        for (int i = matched - 1; i >= 0; i--) {
            saltByDigest.get(digests.digest(i));
        }
        return matched;
    }

    /** Returns the number of leading blocks that are cached without changing the order of eviction. */
    int peek(String salt, PromptDigests digests) {
        int matched = 0;
        // Uses containsKey because get would mark the block as used: the map is in access order.
        while (matched < digests.blockCount() && saltByDigest.containsKey(digests.digest(matched))) {
            matched++;
        }
        return matched;
    }

    /** Stores all blocks of a prompt and returns the ones that were not cached. */
    List<Long> store(String salt, PromptDigests digests) {
        List<Long> all = new ArrayList<>(digests.blockCount());
        for (int i = 0; i < digests.blockCount(); i++) {
            all.add(digests.digest(i));
        }
        return store(salt, all);
    }

    /** Stores blocks in prompt order and returns the ones that were not cached. */
    List<Long> store(String salt, List<Long> digests) {
        List<Long> added = new ArrayList<>();
        for (int i = digests.size() - 1; i >= 0; i--) {
            if (saltByDigest.put(digests.get(i), salt) == null) {
                added.add(digests.get(i));
            }
        }
        evict();
        return added;
    }

    boolean contains(String salt, long digest) {
        return salt.equals(saltByDigest.get(digest));
    }

    int size() {
        return saltByDigest.size();
    }

    void clear() {
        saltByDigest.clear();
    }

    private void evict() {
        Map<String, List<Long>> evicted = new LinkedHashMap<>();
        Iterator<Map.Entry<Long, String>> eldest = saltByDigest.entrySet().iterator();
        while (saltByDigest.size() > capacity) {
            Map.Entry<Long, String> entry = eldest.next();
            evicted.computeIfAbsent(entry.getValue(), salt -> new ArrayList<>()).add(entry.getKey());
            eldest.remove();
        }
        evicted.forEach(onEvicted);
    }
}
