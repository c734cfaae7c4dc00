package io.agatelane.core.hash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import org.testng.annotations.Test;

/** Guards against digest chains that routers and engines compute differently, or that merge different prompts. */
public final class PromptDigesterTest {
    private static final String REGULATIONS = "r".repeat(5_000);

    @Test
    public void equalPrefixesHaveEqualDigests() {
        PromptDigests first = digests("a/w1", REGULATIONS, "district one");
        PromptDigests second = digests("a/w1", REGULATIONS, "d".repeat(2_000));
        assertEquals(first.blocksAtLevel(0), 4);
        for (int block = 0; block < first.blocksAtLevel(0); block++) {
            assertEquals(first.digest(block), second.digest(block));
        }
        assertNotEquals(second.digest(5), second.digest(4));
    }

    @Test
    public void differentSaltsNeverShareDigests() {
        assertNotEquals(
                digests("a/w1", REGULATIONS, "x").digest(0),
                digests("b/w1", REGULATIONS, "x").digest(0));
    }

    @Test
    public void movingTextBetweenMessagesChangesTheDigest() {
        PromptDigests joined = digests("s", "a".repeat(1_010) + "bc", "d".repeat(2_000));
        PromptDigests split = digests("s", "a".repeat(1_010) + "b", "c" + "d".repeat(2_000));
        assertNotEquals(joined.digest(0), split.digest(0));
    }

    private static PromptDigests digests(String salt, String first, String second) {
        return new PromptDigester(salt).add("system", first).add("user", second).build();
    }
}
