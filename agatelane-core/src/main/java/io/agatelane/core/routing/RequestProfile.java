package io.agatelane.core.routing;

import io.agatelane.core.hash.PromptDigests;
import io.agatelane.core.hash.Rendezvous;

/** Properties of a request that determine the choice of an engine: the levels of its nested prefixes and its size. */
public final class RequestProfile {
    /**
     * Maximum number of prefix levels; of more levels the deepest ones are used, because they share the most tokens.
     */
    public static final int MAX_LEVELS = 6;

    private static final int TOKENS_PER_BLOCK = 256;

    private final long[] digests;
    private final long[] keys;
    private final int[] tokens;
    private final boolean[] wholePrompt;
    private final int levelCount;
    private final int promptTokens;
    private final int maxTokens;
    private final long seed;

    /**
     * Selects the prefix levels of a prompt.
     *
     * @param maxTokens maximum number of tokens to generate
     * @param seed selects the random candidates; differs between requests
     */
    public RequestProfile(String model, PromptDigests prompt, int maxTokens, long seed) {
        int first = firstLevel(prompt);
        this.digests = new long[MAX_LEVELS];
        this.keys = new long[MAX_LEVELS];
        this.tokens = new int[MAX_LEVELS];
        this.wholePrompt = new boolean[MAX_LEVELS];
        this.promptTokens = prompt.tokenCount();
        this.maxTokens = maxTokens;
        this.seed = seed;
        long modelHash = Rendezvous.hash(model);
        int count = 0;
        int previousBlocks = 0;
        for (int level = first; level < prompt.levelCount(); level++) {
            int blocks = prompt.blocksAtLevel(level);
            if (blocks == previousBlocks) {
                continue;
            }
            previousBlocks = blocks;
            digests[count] = prompt.digest(blocks - 1);
            keys[count] = Rendezvous.weight(modelHash, digests[count]);
            tokens[count] = blocks * TOKENS_PER_BLOCK;
            wholePrompt[count] = level == prompt.levelCount() - 1;
            count++;
        }
        this.levelCount = count;
    }

    /** Returns the number of prefix levels; level 0 is the shortest prefix. */
    public int levelCount() {
        return levelCount;
    }

    public long digest(int level) {
        return digests[level];
    }

    /** Returns the rendezvous key of a level, which depends on account, model, weights version and prefix. */
    public long key(int level) {
        return keys[level];
    }

    /** Returns the number of tokens from the start of the prompt to the end of a level. */
    public int tokensAt(int level) {
        return tokens[level];
    }

    /** Whether the level ends with the last message, which is new in almost every request. */
    public boolean isWholePrompt(int level) {
        return wholePrompt[level];
    }

    public int promptTokens() {
        return promptTokens;
    }

    public int maxTokens() {
        return maxTokens;
    }

    public long seed() {
        return seed;
    }

    private static int firstLevel(PromptDigests prompt) {
        int distinct = 0;
        int level = prompt.levelCount() - 1;
        while (level >= 0) {
            int blocks = prompt.blocksAtLevel(level);
            int before = level == 0 ? 0 : prompt.blocksAtLevel(level - 1);
            if (blocks > before && ++distinct == MAX_LEVELS) {
                return level;
            }
            level--;
        }
        return 0;
    }
}
