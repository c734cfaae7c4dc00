package io.agatelane.node.forward;

import io.agatelane.node.api.Subscription;
import io.agatelane.node.io.http.CallerEndPoint;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes a response to its caller and detects that the caller has stopped reading: no byte more was taken from a write
 * for some time. A caller that takes some bytes in this time is only slow.
 */
final class UnreadWatch {
    private final Optional<CallerEndPoint> caller;
    private final Response response;
    private final ForwardContext context;
    private final Runnable onUnread;

    /**
     * Creates a watch for one response.
     *
     * @param onUnread called at most once for each write, without any lock
     */
    UnreadWatch(ForwardContext context, Request request, Response response, Runnable onUnread) {
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        this.caller =
                endPoint instanceof CallerEndPoint callerEndPoint ? Optional.of(callerEndPoint) : Optional.empty();
        this.response = response;
        this.context = context;
        this.onUnread = onUnread;
    }

    /** Writes a part of the response. */
    void write(boolean isLast, byte[] bytes, Callback callback) {
        if (caller.isEmpty()) {
            response.write(isLast, ByteBuffer.wrap(bytes), callback);
            return;
        }
        PendingWrite write = new PendingWrite(caller.get(), callback);
        response.write(isLast, ByteBuffer.wrap(bytes), write);
        write.watch();
    }

    /** Closes the caller's connection, which fails a write that is still pending. */
    void close() {
        caller.ifPresent(EndPoint::close);
    }

    // Most writes are complete when the call returns, and need no timer.
    private final class PendingWrite extends Callback.Nested {
        private final CallerEndPoint endPoint;
        private Subscription timer = () -> {};
        private long writtenBytes;
        private boolean ended;

        private PendingWrite(CallerEndPoint endPoint, Callback callback) {
            super(callback);
            this.endPoint = endPoint;
        }

        private synchronized void watch() {
            if (!ended) {
                writtenBytes = endPoint.writtenBytes();
                long maxMillis = context.settings().heldBytes().unreadMillis();
                // A write that goes on may also read on from the upstream, which is no work for the timers' thread.
                Runnable check = () -> context.client().getExecutor().execute(this::check);
                timer = context.timers().after(maxMillis, check);
            }
        }

        private void check() {
            endPoint.tryWrite();
            synchronized (this) {
                if (ended) {
                    return;
                }
                if (endPoint.writtenBytes() > writtenBytes) {
                    watch();
                    return;
                }
                ended = true;
            }
            onUnread.run();
        }

        private synchronized void end() {
            ended = true;
            timer.cancel();
        }

        @Override
        public void succeeded() {
            end();
            super.succeeded();
        }

        @Override
        public void failed(Throwable failure) {
            end();
            super.failed(failure);
        }
    }
}
