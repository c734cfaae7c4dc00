package io.agatelane.node.io.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.ResponseUtils;
import org.eclipse.jetty.util.Callback;

/** Writes failures as problem documents (RFC 9457). */
public final class ProblemDocuments {
    /** Media type of a problem document. */
    public static final String CONTENT_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:agatelane:problem:";
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ProblemDocuments() {}

    /** Returns the document as JSON text. */
    public static String toJson(AgatelaneException failure, String requestId) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("type", TYPE_PREFIX + failure.type().code());
        node.put("title", failure.type().code().replace('-', ' '));
        node.put("status", failure.type().httpStatus());
        node.put("detail", failure.getMessage());
        node.put("executed", failure.executed().wireName());
        node.put("instance", "urn:agatelane:request:" + requestId);
        failure.retryAfterMillis().ifPresent(millis -> node.put("retry_after_millis", millis));
        return node.toString();
    }

    /** Sends the document as the complete response. */
    public static void write(Response response, Callback callback, AgatelaneException failure, String requestId) {
        response.setStatus(failure.type().httpStatus());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, CONTENT_TYPE);
        response.getHeaders().put("X-Request-Id", requestId);
        failure.retryAfterMillis()
                .ifPresent(millis -> response.getHeaders().put(HttpHeader.RETRY_AFTER, retryAfterSeconds(millis)));
        if (failure.type() == FailureType.BODY_TOO_LARGE) {
            // The body may not have been read to its end, so the connection cannot carry another request.
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        // A refusal may come before the body has arrived; the server then closes the connection, which is announced.
        ResponseUtils.ensureConsumeAvailableOrNotPersistent(response.getRequest(), response);
        byte[] body = toJson(failure, requestId).getBytes(StandardCharsets.UTF_8);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    // Retry-After counts whole seconds; rounding up keeps a caller from retrying too early.
    private static long retryAfterSeconds(long millis) {
        return Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }
}
