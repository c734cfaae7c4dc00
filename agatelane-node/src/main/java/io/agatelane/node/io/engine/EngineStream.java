package io.agatelane.node.io.engine;

import io.agatelane.node.io.http.FinalStatus;
import io.agatelane.node.io.http.ReadCredit;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CancellationException;
import java.util.function.LongSupplier;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;

/** One connection that delivers the events of one engine stream. */
final class EngineStream {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final int MAX_ERROR_BYTES = 16 * 1024;
    private static final int OK = 200;

    private final Request request;
    private final Listener listener;
    private final LongSupplier clock;
    private final SseParser parser = new SseParser(MAX_EVENT_BYTES);
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private volatile long lastByteMillis;
    private volatile boolean requestStarted;
    private volatile boolean aborted;
    private volatile boolean complete;

    /** Receives what the stream delivers, in order and one call at a time. */
    interface Listener {
        /** Called when the engine accepted the request. */
        void onHeaders(EngineStream stream, HttpFields headers);

        void onEvent(EngineStream stream, SseParser.Event event);

        /** Runs the demand for more data once the listener can take it. */
        void whenReady(EngineStream stream, Runnable demand);

        /** Called when the engine responded with another status than 200. */
        void onRefused(EngineStream stream, int status, HttpFields headers, String body);

        /** Called when the response ended; the failure is null when it ended normally. */
        void onEnd(EngineStream stream, Throwable failure);
    }

    EngineStream(Request request, Listener listener, LongSupplier clock) {
        this.request = request;
        this.listener = listener;
        this.clock = clock;
        this.lastByteMillis = clock.getAsLong();
    }

    void start() {
        request.onRequestBegin(unused -> requestStarted = true)
                .onResponseHeaders(FinalStatus::abortUnlessFinal)
                .onResponseHeaders(this::headers)
                .onResponseContentAsync(this::content)
                .send(this::complete);
    }

    /** Aborts the exchange; the listener is not called any more. */
    void abort() {
        aborted = true;
        var unused = request.abort(new CancellationException("the stream is no longer needed"));
    }

    /** Stops calling the listener but lets the response end normally, so that its connection can be reused. */
    void detach() {
        aborted = true;
    }

    boolean isComplete() {
        return complete;
    }

    /** Monotonic time at which the last byte was received, or at which this stream was created. */
    long lastByteMillis() {
        return lastByteMillis;
    }

    /** Whether a byte of the request may have reached the engine. */
    boolean mayHaveBeenSent() {
        return requestStarted;
    }

    private void headers(Response response) {
        lastByteMillis = clock.getAsLong();
        if (!aborted && response.getStatus() == OK) {
            listener.onHeaders(this, response.getHeaders());
        }
    }

    private void content(Response response, Content.Chunk chunk, Runnable demand) {
        lastByteMillis = clock.getAsLong();
        ByteBuffer bytes = chunk.getByteBuffer();
        if (response.getStatus() != OK) {
            collectError(bytes);
            demand.run();
            return;
        }
        ReadCredit.of(request).ifPresent(credit -> credit.extendByContent(bytes.remaining()));
        if (!aborted) {
            parser.parse(bytes, event -> {
                if (!aborted) {
                    listener.onEvent(this, event);
                }
            });
        }
        listener.whenReady(this, demand);
    }

    private void collectError(ByteBuffer bytes) {
        while (bytes.hasRemaining() && errorBody.size() < MAX_ERROR_BYTES) {
            errorBody.write(bytes.get());
        }
    }

    private void complete(Result result) {
        complete = true;
        if (aborted) {
            return;
        }
        Response response = result.getResponse();
        if (!result.isFailed() && response.getStatus() != OK) {
            listener.onRefused(
                    this, response.getStatus(), response.getHeaders(), errorBody.toString(StandardCharsets.UTF_8));
            return;
        }
        listener.onEnd(this, result.getFailure());
    }
}
