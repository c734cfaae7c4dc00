package io.agatelane.node.io.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves {@code /health/live} and {@code /health/ready}. */
public final class HealthHandler extends Handler.Abstract.NonBlocking {
    private final BooleanSupplier ready;

    public HealthHandler(BooleanSupplier ready) {
        this.ready = ready;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.equals("/health/live")) {
            write(response, callback, HttpStatus.OK_200, "{\"status\":\"live\"}");
            return true;
        }
        if (path.equals("/health/ready")) {
            boolean isReady = ready.getAsBoolean();
            write(
                    response,
                    callback,
                    isReady ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503,
                    isReady ? "{\"status\":\"ready\"}" : "{\"status\":\"not-ready\"}");
            return true;
        }
        return false;
    }

    private static void write(Response response, Callback callback, int status, String body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), callback);
    }
}
