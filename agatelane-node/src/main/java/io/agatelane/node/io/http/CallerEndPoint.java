package io.agatelane.node.io.http;

import io.agatelane.node.api.Subscription;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.util.EventLog;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller's connection with limits for callers that never end a request: for the bytes that are no content, and for
 * the time that a head may take. An idle time-out does not notice them, because each byte starts it again.
 */
public final class CallerEndPoint extends SocketChannelEndPoint implements CreditedEndPoint {
    private static final EventLog LOG = EventLog.of(CallerEndPoint.class);
    private static final byte[] HEAD_TIMEOUT_RESPONSE =
            "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII);

    // Closing a connection with unread bytes resets it, and the reset can overtake the response. So the connection
    // stays open until the caller closes it, but no longer than a caller takes to notice the response, and for no
    // more bytes.
    private static final long MAX_DISCARD_MILLIS = 1_000;
    private static final int MAX_DISCARDED_BYTES = 1 << 20;
    private static final int DISCARD_BUFFER_BYTES = 4 << 10;

    private final TimerService timers;
    private final LongSupplier headTimeoutMillis;
    private final long creditBytes;
    private final ReadCredit readCredit;
    private final AtomicLong writtenBytes = new AtomicLong();
    private Phase phase = Phase.BETWEEN_REQUESTS;
    private Subscription headTimer = () -> {};
    private long discardedBytes;

    private enum Phase {
        BETWEEN_REQUESTS,
        HEAD,
        REQUEST,
        TIMED_OUT
    }

    /**
     * Creates the end point of an accepted connection.
     *
     * @param headTimeoutMillis time from the first byte of a head to its last
     * @param creditBytes bytes that are no content and that each request may have
     */
    public CallerEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            TimerService timers,
            LongSupplier headTimeoutMillis,
            long creditBytes) {
        super(channel, selector, key, scheduler);
        this.timers = timers;
        this.headTimeoutMillis = headTimeoutMillis;
        this.creditBytes = creditBytes;
        this.readCredit = new ReadCredit(creditBytes);
    }

    @Override
    public ReadCredit readCredit() {
        return readCredit;
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isTimedOut()) {
            return discard();
        }
        int filled = super.fill(buffer);
        if (filled > 0) {
            readCredit.use(filled);
            startHead();
        }
        return filled;
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        long before = BufferUtil.remaining(buffers);
        try {
            return super.flush(buffers);
        } finally {
            writtenBytes.addAndGet(before - BufferUtil.remaining(buffers));
        }
    }

    /** Number of bytes that the operating system has taken for the caller. */
    public long writtenBytes() {
        return writtenBytes.get();
    }

    /**
     * Continues a pending write if there is room for any byte of it. The selector reports room only when a third of the
     * send buffer is free, which takes a slow reader long.
     */
    public void tryWrite() {
        if (getWriteFlusher().isPending()) {
            getWriteFlusher().completeWrite();
        }
    }

    private synchronized void startHead() {
        if (phase == Phase.BETWEEN_REQUESTS) {
            phase = Phase.HEAD;
            headTimer = timers.after(headTimeoutMillis.getAsLong(), this::onHeadTimeout);
        }
    }

    /** Ends the limits of the head; returns false when the time for it has passed and the connection is closing. */
    public synchronized boolean startRequest() {
        headTimer.cancel();
        if (phase == Phase.TIMED_OUT) {
            return false;
        }
        phase = Phase.REQUEST;
        readCredit.reset(creditBytes);
        return true;
    }

    /** Must be called before the connection reads the next request. */
    public synchronized void endRequest() {
        if (phase == Phase.REQUEST) {
            phase = Phase.BETWEEN_REQUESTS;
        }
    }

    private void onHeadTimeout() {
        synchronized (this) {
            if (phase != Phase.HEAD) {
                return;
            }
            phase = Phase.TIMED_OUT;
        }
        LOG.event("caller_head_timeout")
                .with("caller", getRemoteSocketAddress())
                .with("action", "closed")
                .info();
        write(Callback.from(this::endTimedOut, failure -> close()), ByteBuffer.wrap(HEAD_TIMEOUT_RESPONSE));
    }

    private synchronized boolean isTimedOut() {
        return phase == Phase.TIMED_OUT;
    }

    private void endTimedOut() {
        shutdownOutput();
        synchronized (this) {
            headTimer = timers.after(MAX_DISCARD_MILLIS, this::close);
        }
    }

    // Returns as if nothing had arrived, so that the connection waits for more bytes and parses none.
    private int discard() throws IOException {
        ByteBuffer bytes = BufferUtil.allocate(DISCARD_BUFFER_BYTES);
        int filled = super.fill(bytes);
        // A caller can write faster than this reads.
        while (filled > 0 && discardedBytes <= MAX_DISCARDED_BYTES) {
            discardedBytes += filled;
            BufferUtil.clear(bytes);
            filled = super.fill(bytes);
        }
        if (filled < 0 || discardedBytes > MAX_DISCARDED_BYTES) {
            close();
            return -1;
        }
        return 0;
    }

    @Override
    public void onClose(Throwable cause) {
        synchronized (this) {
            headTimer.cancel();
        }
        super.onClose(cause);
    }
}
