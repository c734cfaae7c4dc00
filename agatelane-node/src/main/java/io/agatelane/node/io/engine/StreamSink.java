package io.agatelane.node.io.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.node.io.http.ProblemDocuments;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes server-sent events. Chunks that arrive while a write is running are sent together in the next one. */
final class StreamSink implements CallerSink {
    // Backpressure for slow callers: reading from the engine pauses once this much data is waiting to be written.
    private static final int HIGH_WATER_BYTES = 64 * 1024;

    private final Response response;
    private final Callback callback;
    private final String requestId;
    private final Runnable onCallerDisconnected;
    private ByteArrayOutputStream pending = new ByteArrayOutputStream(512);
    private boolean committed;
    private boolean writing;
    private boolean ended;
    private boolean finished;
    private Runnable whenWritableAction;

    StreamSink(Response response, Callback callback, String requestId, Runnable onCallerDisconnected) {
        this.response = response;
        this.callback = callback;
        this.requestId = requestId;
        this.onCallerDisconnected = onCallerDisconnected;
    }

    @Override
    public void chunk(String eventId, ObjectNode chunk) {
        append("id: " + eventId + "\ndata: " + chunk + "\n\n", false);
    }

    @Override
    public void complete() {
        append("data: [DONE]\n\n", true);
    }

    @Override
    public void keepAlive() {
        append(": waiting\n\n", false);
    }

    @Override
    public void fail(AgatelaneException failure) {
        synchronized (this) {
            if (!committed) {
                if (!ended) {
                    ended = true;
                    finished = true;
                    committed = true;
                    ProblemDocuments.write(response, callback, failure, requestId);
                }
                return;
            }
        }
        append("event: error\ndata: " + ProblemDocuments.toJson(failure, requestId) + "\n\n", true);
    }

    @Override
    public synchronized boolean isBlocked() {
        return writing;
    }

    @Override
    public void whenWritable(Runnable action) {
        synchronized (this) {
            if (pending.size() > HIGH_WATER_BYTES && !finished) {
                whenWritableAction = action;
                return;
            }
        }
        action.run();
    }

    private void append(String text, boolean last) {
        synchronized (this) {
            if (ended) {
                return;
            }
            pending.writeBytes(text.getBytes(StandardCharsets.UTF_8));
            ended = last;
            commit();
        }
        flush();
    }

    private void commit() {
        if (!committed) {
            committed = true;
            response.setStatus(200);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
            response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
            response.getHeaders().put("X-Request-Id", requestId);
        }
    }

    private void flush() {
        ByteBuffer buffer;
        boolean last;
        Runnable actionToRun;
        synchronized (this) {
            if (writing || finished || (pending.size() == 0 && !ended)) {
                return;
            }
            writing = true;
            buffer = ByteBuffer.wrap(pending.toByteArray());
            pending = new ByteArrayOutputStream(512);
            last = ended;
            finished = last;
            actionToRun = whenWritableAction;
            whenWritableAction = null;
        }
        response.write(last, buffer, Callback.from(() -> written(last), this::writeFailed));
        if (actionToRun != null) {
            actionToRun.run();
        }
    }

    private void written(boolean last) {
        if (last) {
            callback.succeeded();
            return;
        }
        synchronized (this) {
            writing = false;
        }
        flush();
    }

    private void writeFailed(Throwable failure) {
        Runnable actionToRun;
        synchronized (this) {
            ended = true;
            finished = true;
            actionToRun = whenWritableAction;
            whenWritableAction = null;
        }
        callback.failed(failure);
        onCallerDisconnected.run();
        if (actionToRun != null) {
            actionToRun.run();
        }
    }
}
