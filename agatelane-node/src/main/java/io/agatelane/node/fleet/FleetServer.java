package io.agatelane.node.fleet;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.CallerLimits;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.io.http.AllocationFailureHandler;
import io.agatelane.node.io.http.CallerEndPoint;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Map;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;

/** The HTTP server of a fleet router: callers, readiness and metrics, each on an address of its own. */
final class FleetServer {
    // Callers reuse an idle connection for up to four fifths of the limit; closing it later never hits a request.
    private static final double IDLE_TIMEOUT_FACTOR = 1.2;
    private static final int BACKLOG = 512;
    // Framing of a body and the buffers of a connection, beside the head.
    private static final int FRAMING_CREDIT_BYTES = 64 << 10;
    // Time for a head while no configuration is known.
    private static final long DEFAULT_HEAD_TIMEOUT_MILLIS = 10_000;

    private final Server server;
    private final HttpConfiguration callerConfiguration = configuration();
    private final ServerConnector callers;
    private final TimerService timers;
    private final RequestHeadLimit headLimit;
    private volatile long headTimeoutMillis = DEFAULT_HEAD_TIMEOUT_MILLIS;

    FleetServer(
            QueuedThreadPool threads,
            Scheduler scheduler,
            TimerService timers,
            Map<InetSocketAddress, Handler> handlers,
            InetSocketAddress callerAddress) {
        this.timers = timers;
        headLimit = new RequestHeadLimit(timers);
        callerConfiguration.setRequestHeaderSize(headLimit.parserBytes());
        server = new Server(threads, scheduler, null);
        callers = callerConnector();
        bind(callers, callerAddress);
        server.addConnector(callers);
        for (InetSocketAddress address : handlers.keySet()) {
            if (!address.equals(callerAddress)) {
                ServerConnector connector = new FleetConnector(server, configuration());
                bind(connector, address);
                server.addConnector(connector);
            }
        }
        server.setErrorHandler(new AllocationFailureHandler());
        server.setHandler(new AddressDispatcher(handlers, headLimit));
    }

    private static void bind(ServerConnector connector, InetSocketAddress address) {
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setAcceptQueueSize(BACKLOG);
        connector.setReuseAddress(true);
    }

    private ServerConnector callerConnector() {
        return new FleetConnector(server, callerConfiguration) {
            @Override
            protected SocketChannelEndPoint newEndPoint(
                    SocketChannel channel, ManagedSelector selector, SelectionKey key) {
                return new CallerEndPoint(
                        channel,
                        selector,
                        key,
                        getScheduler(),
                        timers,
                        () -> headTimeoutMillis,
                        callerConfiguration.getRequestHeaderSize() + FRAMING_CREDIT_BYTES);
            }
        };
    }

    private static HttpConfiguration configuration() {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        // The path is forwarded unchanged; only the upstream interprets it.
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        return configuration;
    }

    /** Applies the operator's limits: the size of heads to all connections, the idle time to new ones. */
    void apply(CallerLimits limits) {
        headLimit.set(limits.headerBytes());
        callerConfiguration.setRequestHeaderSize(headLimit.parserBytes());
        headTimeoutMillis = limits.headerTimeoutMillis();
        callers.setIdleTimeout(Math.round(limits.idleTimeoutMillis() * IDLE_TIMEOUT_FACTOR));
    }

    void start() {
        try {
            server.start();
        } catch (Exception e) {
            throw new AgatelaneException(FailureType.INVALID_SETTINGS, "the HTTP server did not start: " + e, e);
        }
    }

    void stop() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the HTTP server did not stop: " + e, e);
        }
    }

    private static final class AddressDispatcher extends Handler.Abstract.NonBlocking {
        private final Map<InetSocketAddress, Handler> handlers;
        private final RequestHeadLimit headLimit;

        private AddressDispatcher(Map<InetSocketAddress, Handler> handlers, RequestHeadLimit headLimit) {
            this.handlers = Map.copyOf(handlers);
            this.headLimit = headLimit;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            Handler handler = handlers.get(request.getConnectionMetaData().getLocalSocketAddress());
            if (handler == null) {
                return false;
            }
            EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
            return endPoint instanceof CallerEndPoint caller
                    ? handle(handler, caller, request, response, callback)
                    : handler.handle(request, response, callback);
        }

        private boolean handle(
                Handler handler, CallerEndPoint caller, Request request, Response response, Callback callback)
                throws Exception {
            if (!caller.startRequest()) {
                callback.failed(new QuietException.Exception("the head of the request came too late"));
                return true;
            }
            Callback ending = new Callback.Nested(callback) {
                @Override
                public void succeeded() {
                    caller.endRequest();
                    super.succeeded();
                }
            };
            return headLimit.refuse(request, response, ending) || handler.handle(request, response, ending);
        }
    }
}
