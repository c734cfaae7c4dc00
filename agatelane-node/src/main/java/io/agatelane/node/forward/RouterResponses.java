package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.CallerProtocol;
import io.agatelane.node.io.http.ProblemDocuments;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.Set;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes responses that the router itself produces. */
final class RouterResponses {
    private static final Set<FailureType> BODY_UNREAD = EnumSet.of(
            FailureType.BODY_TOO_LARGE,
            FailureType.MALFORMED_REQUEST,
            FailureType.REQUEST_TIMEOUT,
            FailureType.NO_MEMORY);

    private RouterResponses() {}

    /** Writes a failure as the complete response. */
    static void writeFailure(
            ForwardContext context,
            Response response,
            Callback callback,
            AgatelaneException failure,
            String requestId) {
        CallerProtocol protocol = context.ports().callerProtocol();
        response.setStatus(protocol.status(failure));
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, ProblemDocuments.CONTENT_TYPE);
        protocol.encodeFailure(failure, requestId, response.getHeaders());
        if (BODY_UNREAD.contains(failure.type())) {
            // The body may not have been read to its end, so the connection cannot carry another request.
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
        }
        closeWhenDraining(context, response);
        byte[] body = ProblemDocuments.toJson(failure, requestId).getBytes(StandardCharsets.UTF_8);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    /** Closes the caller's connection after this response when the router is shutting down. */
    static void closeWhenDraining(ForwardContext context, Response response) {
        if (context.shutdown().hasBegun()) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
        }
    }
}
