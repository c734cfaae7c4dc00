package io.agatelane.lab.http;

import io.agatelane.node.util.EventLog;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** HTTP server of one stand-in, which listens on a loopback address. */
@SuppressWarnings("FutureReturnValueIgnored") // Scheduled tasks are not awaited; their failures are logged.
public final class LabServer implements AutoCloseable {
    private static final long LISTEN_RETRY_MILLIS = 100;
    private static final EventLog LOG = EventLog.of(LabServer.class);
    private static final int MAX_THREADS = 24;
    // Watches and event streams can be idle for minutes.
    private static final long IDLE_TIMEOUT_MILLIS = 600_000;

    private final Server server;
    private final ServerConnector connector;
    private final ScheduledExecutorService scheduler;

    /** Creates a server that passes each request with its body to the handler. */
    public LabServer(InetSocketAddress address, Consumer<Exchange> handler) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 4);
        threads.setName("http");
        threads.setDaemon(true);
        server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
        connector.setHost(address.getHostString());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
        server.setHandler(new BodyHandler(handler));
        scheduler = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "lab-server");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Parses {@code IP:PORT}. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new BadRequestException("not an address of the form IP:PORT: " + text);
        }
    }

    /** Starts to listen. */
    public LabServer start() {
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException("cannot listen on " + connector.getHost() + ":" + connector.getPort(), e);
        }
        // A restart after a crash fault must come back on the same port.
        connector.setPort(connector.getLocalPort());
        return this;
    }

    public String url() {
        return "http://" + connector.getHost() + ":" + connector.getPort();
    }

    /** Closes every open connection. */
    public void dropConnections() {
        for (EndPoint endPoint : connector.getConnectedEndPoints()) {
            endPoint.close();
        }
    }

    /** Drops every connection, refuses new ones for {@code downMillis} and then listens again on the same port. */
    public void crash(long downMillis, Runnable beforeRestart) {
        scheduler.execute(() -> {
            stopListening();
            scheduler.schedule(() -> restart(beforeRestart), downMillis, TimeUnit.MILLISECONDS);
        });
    }

    /** Runs a task after a delay. */
    public void schedule(Runnable task, long delayMillis) {
        scheduler.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        LOG.event("lab_task_failed").error(e);
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Waits until the server stops. */
    public void join() throws InterruptedException {
        server.join();
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        dropConnections();
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("cannot stop the server", e);
        }
    }

    private void stopListening() {
        dropConnections();
        try {
            connector.stop();
        } catch (Exception e) {
            LOG.event("lab_stop_failed").error(e);
        }
    }

    private void restart(Runnable beforeRestart) {
        beforeRestart.run();
        restartListening();
    }

    // Retries because the port can be in use: a client that keeps connecting to the closed port may get that port as
    // its own local port, and holds it until it gives up.
    private void restartListening() {
        try {
            connector.start();
        } catch (Exception e) {
            LOG.event("lab_restart_failed").with("cause", e).warning();
            schedule(this::restartListening, LISTEN_RETRY_MILLIS);
        }
    }

    /** Reads the whole body before it passes the request to the stand-in. */
    private static final class BodyHandler extends Handler.Abstract {
        private final Consumer<Exchange> handler;

        private BodyHandler(Consumer<Exchange> handler) {
            this.handler = handler;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Content.Source.asByteBuffer(request, new Promise<ByteBuffer>() {
                @Override
                public void succeeded(ByteBuffer body) {
                    serve(new Exchange(request, response, callback, BufferUtil.toArray(body)));
                }

                @Override
                public void failed(Throwable cause) {
                    callback.failed(cause);
                }
            });
            return true;
        }

        private void serve(Exchange exchange) {
            try {
                handler.accept(exchange);
            } catch (BadRequestException e) {
                exchange.respondError(400, "bad_request", e.getMessage());
            } catch (RuntimeException e) {
                LOG.event("lab_request_failed").with("path", exchange.path()).error(e);
                exchange.respondError(500, "internal", String.valueOf(e.getMessage()));
            }
        }
    }
}
