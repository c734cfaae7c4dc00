package io.agatelane.node.io.operator;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.RoutingInspector;
import io.agatelane.node.config.ConfigService;
import io.agatelane.node.util.EventLog;
import io.agatelane.wire.operator.OperatorServiceGrpc;
import io.grpc.servlet.jakarta.GrpcServlet;
import java.net.InetSocketAddress;
import java.util.List;
import org.eclipse.jetty.ee10.servlet.ServletContextHandler;
import org.eclipse.jetty.ee10.servlet.ServletHolder;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Server on the port for operators: gRPC over h2c, and plain HTTP handlers such as metrics and health. */
public final class OperatorServer implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(OperatorServer.class);
    private static final int MAX_THREADS = 16;
    private static final int MIN_THREADS = 2;

    private final Server server;
    private final ServerConnector connector;
    private final InetSocketAddress address;

    /**
     * Creates the server.
     *
     * @param httpHandlers tried in order before the gRPC service; each handles only its own paths
     */
    public OperatorServer(
            NodeContext context,
            ConfigService config,
            MembershipView membership,
            RoutingInspector inspector,
            KeyValueStore store,
            List<Handler> httpHandlers) {
        address = context.settings().rpcAddress();
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("operator-" + context.settings().vmName());
        threads.setDaemon(true);
        server = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        connector = new ServerConnector(
                server, 1, 1, new HttpConnectionFactory(http), new HTTP2CServerConnectionFactory(http));
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        server.addConnector(connector);

        OperatorServiceImpl calls = new OperatorServiceImpl(config, membership, inspector, store);
        ServletHolder servlet = new ServletHolder(new GrpcServlet(List.of(calls)));
        servlet.setAsyncSupported(true);
        ServletContextHandler grpc = new ServletContextHandler("/");
        grpc.addServlet(servlet, "/" + OperatorServiceGrpc.SERVICE_NAME + "/*");

        Handler.Sequence handlers = new Handler.Sequence();
        httpHandlers.forEach(handlers::addHandler);
        handlers.addHandler(grpc);
        server.setHandler(handlers);
    }

    /**
     * Starts listening on the RPC address of the settings.
     *
     * @throws AgatelaneException with {@code INVALID_SETTINGS} when the address cannot be used
     */
    public void start() {
        try {
            server.start();
        } catch (Exception e) {
            throw new AgatelaneException(
                            FailureType.INVALID_SETTINGS, "cannot listen for operators on " + address + ": " + e, e)
                    .withLocation("/listen/rpcAddress");
        }
        LOG.event("operator_server_started").with("port", port()).info();
    }

    /** Returns the port that the server listens on, also when the system chose it. */
    public int port() {
        return connector.getLocalPort();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            LOG.event("operator_server_stop_failed").error(e);
        }
    }
}
