package io.agatelane.node.io.http;

import io.agatelane.node.api.Subscription;
import io.agatelane.node.api.TimerService;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;

/**
 * Discards the rest of a request whose response has been sent.
 *
 * <p>Closing a connection with unread bytes resets it, and the reset can overtake the response. A caller that never ends
 * its request is cut off after a time.
 */
public final class RequestDiscarder implements Runnable {
    private final Request request;
    private final Optional<ReadCredit> readCredit;
    private final Callback callback;
    private final Subscription timer;
    private final AtomicBoolean ended = new AtomicBoolean();

    private RequestDiscarder(Request request, TimerService timers, long maxMillis, Callback callback) {
        this.request = request;
        this.readCredit = ReadCredit.of(request.getConnectionMetaData().getConnection());
        this.callback = callback;
        timer = timers.after(maxMillis, this::end);
    }

    /**
     * Starts to discard.
     *
     * @param maxMillis time after which the connection is closed, whatever the caller still sends
     * @param callback completed at the end of the request or after the time
     */
    public static void discard(Request request, TimerService timers, long maxMillis, Callback callback) {
        new RequestDiscarder(request, timers, maxMillis, callback).run();
    }

    @Override
    public void run() {
        while (!ended.get()) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this);
                return;
            }
            int bytes = chunk.remaining();
            readCredit.ifPresent(credit -> credit.extendByContent(bytes));
            boolean isEnd = chunk.isLast() || Content.Chunk.isFailure(chunk);
            chunk.release();
            if (isEnd) {
                end();
            }
        }
    }

    private void end() {
        if (ended.compareAndSet(false, true)) {
            timer.cancel();
            callback.succeeded();
        }
    }
}
