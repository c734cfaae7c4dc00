package io.agatelane.node.fleet;

import io.agatelane.node.api.TimerService;
import io.agatelane.node.io.http.RequestDiscarder;
import io.agatelane.node.util.EventLog;
import java.util.Objects;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * The operator's limit for heads of requests, in force on all connections at once.
 *
 * <p>The server's parser takes its limit when a connection opens. It therefore has a wider one, and each head is compared
 * with the current limit after it was parsed.
 */
final class RequestHeadLimit {
    private static final EventLog LOG = EventLog.of(RequestHeadLimit.class);
    // A limit that is raised to at most this many bytes applies to open connections.
    private static final int MIN_PARSER_BYTES = 64 << 10;
    // Limit while no configuration is known.
    private static final int DEFAULT_BYTES = 8 << 10;
    // Two spaces, the protocol version, the line end and the empty line at the end of the head.
    private static final int LINE_FRAMING_BYTES = 14;
    // Colon, space and line end.
    private static final int FIELD_FRAMING_BYTES = 4;
    private static final long MAX_DISCARD_MILLIS = 5_000;

    private final TimerService timers;
    private volatile int maxBytes = DEFAULT_BYTES;

    RequestHeadLimit(TimerService timers) {
        this.timers = timers;
    }

    void set(int bytes) {
        maxBytes = bytes;
    }

    /** Limit of the parser of a connection that opens now. */
    int parserBytes() {
        return Math.max(maxBytes, MIN_PARSER_BYTES);
    }

    private static int headBytes(Request request) {
        // A request that names only a host has no path.
        String path = Objects.requireNonNullElse(request.getHttpURI().getPathQuery(), "");
        int lineBytes = request.getMethod().length() + path.length() + LINE_FRAMING_BYTES;
        return lineBytes
                + request.getHeaders().stream()
                        .mapToInt(RequestHeadLimit::fieldBytes)
                        .sum();
    }

    private static int fieldBytes(HttpField field) {
        int valueBytes = field.getValue() == null ? 0 : field.getValue().length();
        return field.getName().length() + valueBytes + FIELD_FRAMING_BYTES;
    }

    /** Refuses a request whose head is too long and returns true. */
    boolean refuse(Request request, Response response, Callback callback) {
        int bytes = headBytes(request);
        int limit = maxBytes;
        if (bytes <= limit) {
            return false;
        }
        LOG.event("request_head_too_long")
                .with("bytes", bytes)
                .with("limit", limit)
                .info();
        response.setStatus(HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431);
        response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
        Callback discard = Callback.from(
                () -> RequestDiscarder.discard(request, timers, MAX_DISCARD_MILLIS, callback), callback::failed);
        response.write(true, BufferUtil.EMPTY_BUFFER, discard);
        return true;
    }
}
