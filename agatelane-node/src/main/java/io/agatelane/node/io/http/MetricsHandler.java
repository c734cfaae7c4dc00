package io.agatelane.node.io.http;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.node.util.PrometheusText;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves {@code /metrics} in the Prometheus text format. */
public final class MetricsHandler extends Handler.Abstract.NonBlocking {
    private final MetricRegistry registry;

    public MetricsHandler(MetricRegistry registry) {
        this.registry = registry;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals("/metrics")) {
            return false;
        }
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, PrometheusText.CONTENT_TYPE);
        byte[] body = PrometheusText.format(registry).getBytes(StandardCharsets.UTF_8);
        response.write(true, ByteBuffer.wrap(body), callback);
        return true;
    }
}
