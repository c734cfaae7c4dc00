package io.agatelane.node.fleet;

import io.agatelane.node.util.EventLog;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import jdk.net.ExtendedSocketOptions;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * Accepts connections, and closes all of them when it stops.
 *
 * <p>Jetty hands a connection that it accepts during its stop to a selector that has ended, and nothing closes it. Its
 * caller would wait for a response until its own time-out.
 */
class FleetConnector extends ServerConnector {
    private static final EventLog LOG = EventLog.of(FleetConnector.class);
    // TCP keep-alive: connections that the caller's side lost without closing are detected after about this time.
    private static final int KEEP_ALIVE_IDLE_SECONDS = 5;
    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 2;
    private static final int KEEP_ALIVE_PROBES = 2;
    private static final int ONE_THREAD = 1;

    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean stopped;

    FleetConnector(Server server, HttpConfiguration configuration) {
        super(server, ONE_THREAD, ONE_THREAD, new HttpConnectionFactory(configuration));
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
        return new SocketChannelEndPoint(channel, selector, key, getScheduler());
    }

    /** Prepares an accepted connection; closes it when this connector has stopped. */
    @Override
    protected void configure(Socket socket) {
        super.configure(socket);
        enableKeepAlive(socket);
        open.add(socket);
        if (stopped) {
            close(socket);
        }
    }

    private static void enableKeepAlive(Socket socket) {
        try {
            socket.setKeepAlive(true);
            socket.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS);
            socket.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEP_ALIVE_INTERVAL_SECONDS);
            socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEP_ALIVE_PROBES);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    protected void onEndPointClosed(EndPoint endPoint) {
        super.onEndPointClosed(endPoint);
        if (endPoint instanceof SocketChannelEndPoint socketEndPoint) {
            open.remove(socketEndPoint.getChannel().socket());
        }
    }

    @Override
    protected void doStart() throws Exception {
        stopped = false;
        super.doStart();
    }

    @Override
    protected void doStop() throws Exception {
        super.doStop();
        stopped = true;
        open.forEach(this::close);
    }

    private void close(Socket socket) {
        open.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            LOG.event("connection_not_closed")
                    .with("caller", socket.getRemoteSocketAddress())
                    .with("reason", e.toString())
                    .with("action", "ignored")
                    .info();
        }
    }
}
