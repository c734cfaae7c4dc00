package io.agatelane.lab.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** Writes a streamed response; flushes each chunk at once, and sends chunks that arrive during a write together. */
public final class StreamWriter {
    private final Response response;
    private final Callback callback;
    private final Runnable closer;
    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean writing;
    private boolean ended;
    private boolean finished;
    private boolean discarding;
    private Runnable failureListener = () -> {};

    StreamWriter(Response response, Callback callback, Runnable closer) {
        this.response = response;
        this.callback = callback;
        this.closer = closer;
    }

    /** Sets the action that runs when a write fails because the client has disconnected. */
    public synchronized void onFailure(Runnable listener) {
        failureListener = listener;
    }

    /** Sends the status line and headers before the first chunk. */
    public void sendHeaders() {
        synchronized (this) {
            if (writing || ended) {
                return;
            }
            writing = true;
        }
        response.write(false, BufferUtil.EMPTY_BUFFER, Callback.from(this::writeSucceeded, this::writeFailed));
    }

    /** Sends a chunk. Does nothing after the end. */
    public void send(String text) {
        synchronized (this) {
            if (ended || discarding) {
                return;
            }
            pending.writeBytes(text.getBytes(StandardCharsets.UTF_8));
        }
        writePending();
    }

    /** Ends the response after all chunks. */
    public void end() {
        synchronized (this) {
            if (ended || discarding) {
                return;
            }
            ended = true;
        }
        writePending();
    }

    /** Drops all further chunks while the connection stays open. */
    public synchronized void discardFurtherOutput() {
        discarding = true;
    }

    /** Closes the connection in the middle of the response. */
    public void abort() {
        synchronized (this) {
            if (finished) {
                return;
            }
            ended = true;
            finished = true;
        }
        closer.run();
    }

    private void writePending() {
        byte[] bytes;
        boolean last;
        synchronized (this) {
            if (writing || finished || (pending.size() == 0 && !ended)) {
                return;
            }
            writing = true;
            bytes = pending.toByteArray();
            pending = new ByteArrayOutputStream();
            last = ended;
            finished = last;
        }
        if (last) {
            response.write(true, ByteBuffer.wrap(bytes), callback);
        } else {
            response.write(false, ByteBuffer.wrap(bytes), Callback.from(this::writeSucceeded, this::writeFailed));
        }
    }

    private void writeSucceeded() {
        synchronized (this) {
            writing = false;
        }
        writePending();
    }

    private void writeFailed(Throwable cause) {
        Runnable listener;
        synchronized (this) {
            if (finished) {
                return;
            }
            ended = true;
            finished = true;
            listener = failureListener;
        }
        callback.failed(cause);
        listener.run();
    }
}
