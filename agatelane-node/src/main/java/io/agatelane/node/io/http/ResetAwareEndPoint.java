package io.agatelane.node.io.http;

import io.agatelane.node.util.EventLog;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection that reports a reset as a failure and limits the bytes that are no content.
 *
 * <p>Jetty treats a reset like a regular end of the connection. A response without a length ends with its connection,
 * so a response that was cut off by a reset would look complete.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint implements CreditedEndPoint {
    private static final EventLog LOG = EventLog.of(ResetAwareEndPoint.class);
    // Bytes that a connection may deliver before its first request; a sound server sends none.
    private static final long INITIAL_CREDIT_BYTES = 1_024;

    private final ReadCredit readCredit = new ReadCredit(INITIAL_CREDIT_BYTES);
    private volatile boolean resetsOnClose;

    ResetAwareEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public ReadCredit readCredit() {
        return readCredit;
    }

    /** Sets whether closing discards what was not delivered and resets the connection. */
    void setResetsOnClose(boolean resets) {
        resetsOnClose = resets;
    }

    // A regular end of the output would be delivered, and with it all that was sent before.
    @Override
    protected void doShutdownOutput() {
        if (!resetsOnClose) {
            super.doShutdownOutput();
        }
    }

    @Override
    public void doClose() {
        if (resetsOnClose) {
            try {
                getChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                LOG.event("connection_not_reset")
                        .with("reason", e)
                        .with("action", "closed")
                        .info();
            }
        }
        super.doClose();
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int filled = getChannel().read(buffer);
            if (filled > 0) {
                notIdle();
                readCredit.use(filled);
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }
}
