package io.agatelane.node.forward;

import io.agatelane.node.util.EventLog;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** How a response that is passed on states its end, so that a caller can tell a whole one from one that broke off. */
final class CallerResponse {
    private static final EventLog LOG = EventLog.of(CallerResponse.class);
    private static final int RESET_ON_CLOSE = 0;

    private CallerResponse() {}

    /**
     * Sends a response without length in chunks, whatever the caller says about its connection. The server would end the
     * response with the connection if the caller wants it closed, and an early end then looks like a regular one.
     */
    static void frame(Request request, Response response) {
        if (isFramedByClose(request, response) && supportsChunks(request)) {
            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
        }
    }

    /** Ends a response that has begun without completing it. */
    static void breakOff(Request request, Response response, Callback callback, Throwable failure) {
        if (isFramedByClose(request, response) && !supportsChunks(request)) {
            resetOnClose(request);
        }
        callback.failed(new QuietException.Exception(failure.getMessage(), failure));
    }

    private static boolean supportsChunks(Request request) {
        return request.getConnectionMetaData().getHttpVersion().getVersion() >= HttpVersion.HTTP_1_1.getVersion();
    }

    private static boolean isFramedByClose(Request request, Response response) {
        boolean hasBody = !HttpMethod.HEAD.is(request.getMethod())
                && response.getStatus() != HttpStatus.NO_CONTENT_204
                && response.getStatus() != HttpStatus.NOT_MODIFIED_304;
        return hasBody && !response.getHeaders().contains(HttpHeader.CONTENT_LENGTH);
    }

    private static void resetOnClose(Request request) {
        Object transport =
                request.getConnectionMetaData().getConnection().getEndPoint().getTransport();
        if (transport instanceof SocketChannel channel) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, RESET_ON_CLOSE);
            } catch (IOException e) {
                // The connection is closed already.
                LOG.event("caller_not_reset").with("reason", e.toString()).info();
            }
        }
    }
}
