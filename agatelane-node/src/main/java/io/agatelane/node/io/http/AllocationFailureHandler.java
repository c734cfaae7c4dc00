package io.agatelane.node.io.http;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Reports a request that could not be parsed for want of memory as not run. The server takes any failure of its parser
 * for a malformed request.
 */
public final class AllocationFailureHandler extends ErrorHandler {
    // The collection that follows a failed allocation has ended by then.
    private static final long RETRY_SECONDS = 1;

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        Object failure = request.getAttribute(ErrorHandler.ERROR_EXCEPTION);
        if (!HttpStatus.isClientError(response.getStatus())
                || !(failure instanceof Throwable thrown)
                || !isCausedByAllocation(thrown)) {
            return super.handle(request, response, callback);
        }
        response.setStatus(HttpStatus.SERVICE_UNAVAILABLE_503);
        response.getHeaders().put(HttpHeader.RETRY_AFTER, RETRY_SECONDS);
        response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
        response.write(true, BufferUtil.EMPTY_BUFFER, callback);
        return true;
    }

    /** Whether a failure or one of its causes is a failed allocation. */
    static boolean isCausedByAllocation(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof OutOfMemoryError) {
                return true;
            }
        }
        return false;
    }
}
