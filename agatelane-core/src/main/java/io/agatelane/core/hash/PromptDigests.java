package io.agatelane.core.hash;

/** Digest chain of a prompt, with the number of whole blocks up to the end of each message. */
public final class PromptDigests {
    private final long[] digests;
    private final int[] blocksAtLevels;
    private final long totalBytes;

    PromptDigests(long[] digests, int[] blocksAtLevels, long totalBytes) {
        this.digests = digests;
        this.blocksAtLevels = blocksAtLevels;
        this.totalBytes = totalBytes;
    }

    /** Returns the number of whole blocks. */
    public int blockCount() {
        return digests.length;
    }

    /** Returns the digest of the blocks up to and including the one at this index. */
    public long digest(int blockIndex) {
        return digests[blockIndex];
    }

    /** Returns the number of prefix levels, one for each message. */
    public int levelCount() {
        return blocksAtLevels.length;
    }

    /** Returns the number of whole blocks from the start of the prompt to the end of the message at this level. */
    public int blocksAtLevel(int level) {
        return blocksAtLevels[level];
    }

    /** Returns the estimated prompt length in tokens of {@link PromptDigester#BYTES_PER_TOKEN} bytes each. */
    public int tokenCount() {
        return (int) Math.min(Integer.MAX_VALUE, totalBytes / PromptDigester.BYTES_PER_TOKEN + 1);
    }
}
