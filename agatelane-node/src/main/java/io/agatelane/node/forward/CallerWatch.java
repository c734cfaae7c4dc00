package io.agatelane.node.forward;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Notices that a caller closes its connection while its request is being served.
 *
 * <p>The server reads nothing from a connection between a request and its answer, so it does not see the close. This
 * watch reads instead. Bytes of a further request that it meets are handed back to the connection.
 */
final class CallerWatch implements Callback {
    // Only the first bytes of a further request are read here; the rest stays in the socket.
    private static final int BUFFER_BYTES = 4_096;

    private final Connection connection;
    private final EndPoint endPoint;
    private final Runnable onGone;
    private boolean stopped;
    private boolean gone;

    private CallerWatch(Connection connection, Runnable onGone) {
        this.connection = connection;
        this.endPoint = connection.getEndPoint();
        this.onGone = onGone;
    }

    /** Starts to watch after the body of the request was read to its end. */
    static CallerWatch start(Request request, Runnable onGone) {
        CallerWatch watch = new CallerWatch(request.getConnectionMetaData().getConnection(), onGone);
        watch.register();
        return watch;
    }

    /** Ends the watch; must be called before the answer is complete, because the connection reads itself then. */
    void stop() {
        boolean registered;
        synchronized (this) {
            registered = !stopped;
            stopped = true;
        }
        if (registered && endPoint instanceof AbstractEndPoint) {
            ((AbstractEndPoint) endPoint).getFillInterest().onFail(new CancellationException("the answer is complete"));
        }
    }

    private void register() {
        synchronized (this) {
            if (stopped) {
                return;
            }
        }
        if (!endPoint.tryFillInterested(this)) {
            synchronized (this) {
                stopped = true;
            }
        }
    }

    @Override
    public void succeeded() {
        synchronized (this) {
            if (stopped) {
                return;
            }
        }
        ByteBuffer buffer = BufferUtil.allocate(BUFFER_BYTES);
        int filled;
        try {
            filled = endPoint.fill(buffer);
        } catch (IOException e) {
            filled = -1;
        }
        if (filled < 0) {
            reportGone();
        } else if (filled == 0) {
            register();
        } else {
            handBack(buffer);
        }
    }

    private void handBack(ByteBuffer buffer) {
        synchronized (this) {
            stopped = true;
        }
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
