package io.agatelane.node.io.http;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server that callers connect to. Every failure is reported as a problem document. */
public final class HttpFrontend implements AutoCloseable {
    private static final String REQUEST_ID = "X-Request-Id";
    // A stream may wait this long for its first token or a slow reader before the connection counts as abandoned.
    private static final long IDLE_TIMEOUT_MILLIS = 120_000;

    private final Server server;
    private final ServerConnector connector;

    /**
     * Creates a server that offers each request to the handlers in order.
     *
     * @param handlers handlers that return false for paths that they do not serve
     */
    public HttpFrontend(InetSocketAddress address, List<Handler> handlers) {
        QueuedThreadPool threads = new QueuedThreadPool();
        threads.setName("http");
        threads.setDaemon(true);
        server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        connector = new ServerConnector(server, new HttpConnectionFactory(configuration));
        connector.setHost(
                address.getAddress() == null
                        ? address.getHostString()
                        : address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
        List<Handler> all = new ArrayList<>(handlers);
        all.add(new NotFoundHandler());
        server.setHandler(new Handler.Sequence(all));
        server.setErrorHandler(HttpFrontend::writeError);
    }

    /**
     * Opens the port.
     *
     * @throws AgatelaneException with {@code INVALID_SETTINGS} when the address cannot be bound
     */
    public void start() {
        try {
            server.start();
        } catch (Exception e) {
            throw new AgatelaneException(FailureType.INVALID_SETTINGS, "the HTTP server did not start: " + e, e);
        }
    }

    /** Returns the bound port; it differs from the configured one when that was 0. */
    public int port() {
        return connector.getLocalPort();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the HTTP server did not stop: " + e, e);
        }
    }

    private static boolean writeError(Request request, Response response, Callback callback) {
        int status = response.getStatus();
        FailureType type = FailureType.INTERNAL;
        if (status == HttpStatus.PAYLOAD_TOO_LARGE_413 || status == HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431) {
            type = FailureType.BODY_TOO_LARGE;
        } else if (HttpStatus.isClientError(status)) {
            type = FailureType.MALFORMED_REQUEST;
        }
        String detail = type == FailureType.INTERNAL
                ? "the request failed inside the router"
                : "the request was refused: " + HttpStatus.getMessage(status);
        ProblemDocuments.write(response, callback, new AgatelaneException(type, detail), requestId(request));
        return true;
    }

    private static String requestId(Request request) {
        String header = request.getHeaders().get(REQUEST_ID);
        return header == null ? "none" : header;
    }

    private static final class NotFoundHandler extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            AgatelaneException failure = new AgatelaneException(
                    FailureType.NOT_FOUND, "no resource exists at " + Request.getPathInContext(request));
            ProblemDocuments.write(response, callback, failure, requestId(request));
            return true;
        }
    }
}
