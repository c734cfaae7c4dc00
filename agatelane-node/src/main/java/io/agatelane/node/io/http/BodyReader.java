package io.agatelane.node.io.http;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.Executed;
import io.agatelane.core.failure.FailureType;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.content.ContentSourceCompletableFuture;
import org.eclipse.jetty.server.Request;

/** Reads a caller's body without blocking, up to a limit. */
public final class BodyReader extends ContentSourceCompletableFuture<byte[]> {
    // Closing a connection with unread bytes resets it, and the reset can reach the caller before the error response.
    // Therefore the rest of a body that is too large is read and discarded, up to this many bytes.
    private static final long MAX_DISCARDED_BYTES = 16L << 20;
    // First part of a body of unknown length.
    private static final int FIRST_BYTES = 4_096;
    private static final byte[] NO_BYTES = new byte[0];

    private final int maxBytes;
    private final long statedBytes;
    private final LongPredicate tryHold;
    private final Optional<ReadCredit> readCredit;
    private long discardedBytes;
    private byte[] body = NO_BYTES;
    private int size;

    private BodyReader(Request request, int maxBytes, LongPredicate tryHold) {
        super(request);
        this.maxBytes = maxBytes;
        this.statedBytes = request.getLength();
        this.tryHold = tryHold;
        this.readCredit = ReadCredit.of(request.getConnectionMetaData().getConnection());
    }

    /**
     * Starts to read the body of a request.
     *
     * @return future of the body; it fails with {@code BODY_TOO_LARGE}, and with {@code MALFORMED_REQUEST} when the
     *     body ends early
     */
    public static CompletableFuture<byte[]> read(Request request, int maxBytes) {
        return read(request, maxBytes, bytes -> true);
    }

    /**
     * Starts to read the body of a request. Before memory is allocated for the body, it is reserved: the whole stated
     * length at once, or as much as has arrived of a body without one.
     *
     * @param tryHold changes the number of bytes that are reserved for the body; returns false when there is no room
     * @return future of the body; it fails as in {@link #read(Request, int)}, and with {@code NO_MEMORY} when there is
     *     no room for the body
     */
    public static CompletableFuture<byte[]> read(Request request, int maxBytes, LongPredicate tryHold) {
        if (request.getLength() > maxBytes + MAX_DISCARDED_BYTES) {
            return CompletableFuture.failedFuture(tooLarge(maxBytes));
        }
        if (request.getLength() > 0 && request.getLength() <= maxBytes && !tryHold.test(request.getLength())) {
            return CompletableFuture.failedFuture(noMemory());
        }
        BodyReader reader = new BodyReader(request, maxBytes, tryHold);
        reader.parse();
        return reader.exceptionallyCompose(failure -> CompletableFuture.failedFuture(toRequestFailure(failure)));
    }

    @Override
    protected byte[] parse(Content.Chunk chunk) {
        ByteBuffer bytes = chunk.getByteBuffer();
        int count = bytes.remaining();
        readCredit.ifPresent(credit -> credit.extendByContent(count));
        if (discardedBytes > 0 || statedBytes > maxBytes || (long) size + count > maxBytes) {
            return discard(chunk);
        }
        if (size + count > body.length) {
            grow(size + count);
        }
        bytes.get(body, size, count);
        size += count;
        return chunk.isLast() ? whole() : null;
    }

    private void grow(int minBytes) {
        int doubled = (int) Math.min(maxBytes, Math.max(FIRST_BYTES, 2L * body.length));
        int capacity = statedBytes > 0 ? (int) Math.max(statedBytes, minBytes) : Math.max(minBytes, doubled);
        copyTo(capacity);
    }

    private byte[] whole() {
        if (size < body.length) {
            copyTo(size);
        }
        return body;
    }

    // Both arrays exist during the copy.
    private void copyTo(int capacity) {
        if (!tryHold.test((long) body.length + capacity)) {
            throw noMemory();
        }
        body = Arrays.copyOf(body, capacity);
        boolean unused = tryHold.test(capacity);
    }

    private byte[] discard(Content.Chunk chunk) {
        discardedBytes += chunk.remaining();
        if (chunk.isLast() || discardedBytes > MAX_DISCARDED_BYTES) {
            throw tooLarge(maxBytes);
        }
        return null;
    }

    private static AgatelaneException toRequestFailure(Throwable failure) {
        AgatelaneException known = AgatelaneException.from(failure);
        if (known.type() != FailureType.INTERNAL) {
            return known;
        }
        if (AllocationFailureHandler.isCausedByAllocation(known)) {
            return noMemory();
        }
        return new AgatelaneException(
                        FailureType.MALFORMED_REQUEST, "the body could not be read: " + known.getMessage(), failure)
                .withExecuted(Executed.NO);
    }

    private static AgatelaneException tooLarge(int maxBytes) {
        return new AgatelaneException(FailureType.BODY_TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
    }

    private static AgatelaneException noMemory() {
        return new AgatelaneException(FailureType.NO_MEMORY, "the router has no memory for the body now");
    }
}
