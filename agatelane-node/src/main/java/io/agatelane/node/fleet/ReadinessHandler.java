package io.agatelane.node.fleet;

import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Reports to the platform's load balancer whether this router accepts new connections. */
public final class ReadinessHandler extends Handler.Abstract.NonBlocking {
    private final String path;
    private final BooleanSupplier ready;

    public ReadinessHandler(String path, BooleanSupplier ready) {
        this.path = path;
        this.ready = ready;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(path)) {
            return false;
        }
        response.setStatus(ready.getAsBoolean() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
        Content.Sink.write(response, true, "", callback);
        return true;
    }
}
