package io.agatelane.node.io.http;

import java.io.IOException;
import java.util.Optional;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Connection;

/**
 * Number of bytes that a connection may still deliver. Thread-safe.
 *
 * <p>A faulty peer may send a head, chunk extensions, interim responses or trailers without end. None of them is
 * content, so no reader notices them before the deadline. A connection therefore starts with a credit, and only content
 * that a reader has taken extends it.
 */
public final class ReadCredit {
    // Framing of a chunk that contains a single byte takes six bytes.
    private static final long FRAMING_BYTES_PER_CONTENT_BYTE = 8;

    private long remainingBytes;

    ReadCredit(long bytes) {
        remainingBytes = bytes;
    }

    /** Returns the credit of the connection that a request was sent on; empty before the request is sent. */
    public static Optional<ReadCredit> of(Request request) {
        return request.getConnection() instanceof Connection connection ? of(connection) : Optional.empty();
    }

    /** Returns the credit of a connection; empty when its bytes are not limited. */
    public static Optional<ReadCredit> of(Connection connection) {
        return connection.getEndPoint() instanceof CreditedEndPoint endPoint
                ? Optional.of(endPoint.readCredit())
                : Optional.empty();
    }

    /** Sets the credit at the start of a request, whatever is left of the last one. */
    public synchronized void reset(long bytes) {
        remainingBytes = bytes;
    }

    /** Extends the credit by content that was read, including the framing that may surround it. */
    public synchronized void extendByContent(long contentBytes) {
        remainingBytes += contentBytes * (1 + FRAMING_BYTES_PER_CONTENT_BYTE);
    }

    /**
     * Uses credit for bytes that were read.
     *
     * @throws ExcessBytesException when the connection has delivered more than its credit
     */
    synchronized void use(long bytes) throws ExcessBytesException {
        remainingBytes -= bytes;
        if (remainingBytes < 0) {
            throw new ExcessBytesException("the peer sends bytes without end that are no content");
        }
    }

    /** A connection has delivered too many bytes that are no content. */
    public static final class ExcessBytesException extends IOException {
        private static final long serialVersionUID = 1L;

        ExcessBytesException(String message) {
            super(message);
        }
    }
}
