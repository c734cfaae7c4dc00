package io.agatelane.node.forward;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Detects that a caller closes its connection while its request is being served.
 *
 * <p>The server reads nothing from a connection between a request and its response, so it does not see the close. This
 * monitor reads instead. Bytes of a further request that it reads are handed back to the connection.
 */
final class CallerDisconnectMonitor implements Callback {
    // Only the first bytes of a further request are read here; the rest stays in the socket.
    private static final int BUFFER_BYTES = 4_096;

    private final Connection connection;
    private final EndPoint endPoint;
    private final Runnable onGone;
    private boolean stopped;
    private boolean gone;

    /**
     * Creates a monitor.
     *
     * @param connection connection of the caller
     * @param onGone called once when the caller has closed its connection
     */
    CallerDisconnectMonitor(Connection connection, Runnable onGone) {
        this.connection = connection;
        this.endPoint = connection.getEndPoint();
        this.onGone = onGone;
    }

    /**
     * Starts monitoring. The body of the request must have been read to its end. Reads at once, so that a close which
     * has already arrived is reported before the request is forwarded: a router that was started again reads requests
     * whose callers have left meanwhile.
     */
    void start() {
        checkForClose();
    }

    /** Stops monitoring; must be called before the response is complete, because the connection reads itself then. */
    void stop() {
        boolean registered;
        synchronized (this) {
            registered = !stopped;
            stopped = true;
        }
        if (registered && endPoint instanceof AbstractEndPoint) {
            ((AbstractEndPoint) endPoint)
                    .getFillInterest()
                    .onFail(new CancellationException("the response is complete"));
        }
    }

    // Registration and stop exclude each other: an interest that is registered after the stop would keep the connection
    // from reading the next request.
    private synchronized void register() {
        if (!stopped && !endPoint.tryFillInterested(this)) {
            stopped = true;
        }
    }

    @Override
    public void succeeded() {
        checkForClose();
    }

    private void checkForClose() {
        if (read() < 0) {
            reportGone();
        }
    }

    // After the stop, the bytes belong to the connection, which may be reading already.
    private synchronized int read() {
        if (stopped) {
            return 0;
        }
        ByteBuffer buffer = BufferUtil.allocate(BUFFER_BYTES);
        int filled;
        try {
            filled = endPoint.fill(buffer);
        } catch (IOException e) {
            return -1;
        }
        if (filled == 0) {
            register();
        } else if (filled > 0) {
            handBack(buffer);
        }
        return filled;
    }

    private void handBack(ByteBuffer buffer) {
        stopped = true;
        if (connection instanceof Connection.UpgradeTo) {
            ((Connection.UpgradeTo) connection).onUpgradeTo(buffer);
        }
    }

    @Override
    public void failed(Throwable cause) {
        synchronized (this) {
            if (stopped) {
                return;
            }
        }
        reportGone();
    }

    private void reportGone() {
        synchronized (this) {
            if (stopped || gone) {
                return;
            }
            gone = true;
            stopped = true;
        }
        onGone.run();
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }
}
