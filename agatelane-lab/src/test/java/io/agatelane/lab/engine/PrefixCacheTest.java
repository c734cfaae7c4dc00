package io.agatelane.lab.engine;

import static org.testng.Assert.assertEquals;

import io.agatelane.core.hash.PromptDigester;
import io.agatelane.core.hash.PromptDigests;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public final class PrefixCacheTest {
    private final List<Long> evicted = new ArrayList<>();

    /** Guards against cached blocks of one client account that another account can use. */
    @Test
    public void equalPromptsWithDifferentSaltsShareNothing() {
        PrefixCache cache = newCache(100);
        cache.store("a/v1", prompt("a/v1", "x"));
        assertEquals(cache.match("a/v1", prompt("a/v1", "x")), 4);
        assertEquals(cache.match("b/v1", prompt("b/v1", "x")), 0);
        assertEquals(cache.match("b/v1", prompt("a/v1", "x")), 0);
    }

    /** Guards against an eviction order that drops a shared prefix before the blocks that follow it. */
    @Test
    public void evictionTakesTheLeastRecentlyUsedAndDeepestBlocksFirst() {
        PrefixCache cache = newCache(6);
        PromptDigests first = prompt("s", "first");
        PromptDigests second = prompt("s", "second");
        cache.store("s", first);
        cache.store("s", second);
        assertEquals(cache.size(), 6);
        assertEquals(evicted, List.of(first.digest(3), first.digest(2)));
        assertEquals(cache.match("s", first), 2);
        assertEquals(cache.match("s", second), 4);
    }

    private PrefixCache newCache(int capacity) {
        evicted.clear();
        return new PrefixCache(capacity, (salt, digests) -> evicted.addAll(digests));
    }

    private static PromptDigests prompt(String salt, String text) {
        return new PromptDigester(salt)
                .add("user", TokenSource.of("text", "", text).text(4 * 256))
                .build();
    }
}
