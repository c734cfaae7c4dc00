package io.agatelane.core.hash;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Builds the digest chain of a prompt, by which routers and engines recognise shared prefixes.
 *
 * <p>The canonical prompt is {@code role + "\n" + content + "\n"} for each message in UTF-8. A digest covers one block
 * and all blocks before it, so equal digests with the same salt mean equal prefixes.
 */
public final class PromptDigester {
    /** Size of a block in bytes. */
    public static final int BLOCK_BYTES = 1024;

    /** Number of bytes that are counted as one token when a length is estimated. */
    public static final int BYTES_PER_TOKEN = 4;

    private final HashStream64 stream = Hashing.xxh3_64().hashStream();
    private final byte[] block = new byte[BLOCK_BYTES];
    private int blockFill;
    private long totalBytes;
    private long[] digests = new long[16];
    private int digestCount;
    private int[] boundaries = new int[8];
    private int boundaryCount;
    private long lastDigest;

    public PromptDigester(String salt) {
        this.lastDigest = Rendezvous.hash(salt);
    }

    /** Adds one message, whose end marks a prefix level: a place at which prompts may begin to differ. */
    public PromptDigester add(String role, String content) {
        addBytes((role + "\n" + content + "\n").getBytes(StandardCharsets.UTF_8));
        if (boundaryCount == boundaries.length) {
            boundaries = Arrays.copyOf(boundaries, boundaryCount * 2);
        }
        boundaries[boundaryCount++] = digestCount;
        return this;
    }

    /** Returns the digests of the messages added so far. */
    public PromptDigests build() {
        return new PromptDigests(
                Arrays.copyOf(digests, digestCount), Arrays.copyOf(boundaries, boundaryCount), totalBytes);
    }

    private void addBytes(byte[] bytes) {
        totalBytes += bytes.length;
        int offset = 0;
        while (offset < bytes.length) {
            int count = Math.min(BLOCK_BYTES - blockFill, bytes.length - offset);
            System.arraycopy(bytes, offset, block, blockFill, count);
            blockFill += count;
            offset += count;
            if (blockFill == BLOCK_BYTES) {
                closeBlock();
            }
        }
    }

    private void closeBlock() {
        lastDigest = stream.reset().putLong(lastDigest).putBytes(block).getAsLong();
        if (digestCount == digests.length) {
            digests = Arrays.copyOf(digests, digestCount * 2);
        }
        digests[digestCount++] = lastDigest;
        blockFill = 0;
    }
}
