package io.agatelane.node.io.http;

import static org.testng.Assert.assertEquals;

import io.agatelane.core.failure.AgatelaneException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Plays failed allocations while a request is received. */
public class AllocationFailureHandlerTest {
    private static final int READ_TIMEOUT_MILLIS = 30_000;
    private static final int MAX_BYTES = 1_000;

    private final BlockingQueue<String> bodyFailures = new LinkedBlockingQueue<>();
    private Server server;
    private int port;

    @BeforeClass
    public void start() throws Exception {
        server = new Server();
        ServerConnector connector = new ServerConnector(server);
        connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
        server.addConnector(connector);
        server.setErrorHandler(new AllocationFailureHandler());
        server.setHandler(new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                if (request.getHttpURI().getPath().equals("/body")) {
                    var unused = BodyReader.read(request, MAX_BYTES, bytes -> {
                                throw new OutOfMemoryError();
                            })
                            .whenComplete((body, failure) -> {
                                bodyFailures.add(
                                        AgatelaneException.from(failure).type().code());
                                callback.succeeded();
                            });
                    return true;
                }
                Throwable cause = request.getHttpURI().getPath().equals("/memory")
                        ? new OutOfMemoryError()
                        : new IllegalArgumentException("malformed");
                Response.writeError(request, response, callback, 400, "Bad", new BadMessageException("Bad", cause));
                return true;
            }
        });
        server.start();
        port = connector.getLocalPort();
    }

    @AfterClass
    public void stop() throws Exception {
        server.stop();
    }

    // Guards against a proper request that is refused as malformed because the heap is full while it is parsed.
    @Test
    public void failedAllocationIsNoMalformedRequest() throws Exception {
        assertEquals(status("GET /memory HTTP/1.1\r\nHost: h\r\n\r\n"), "HTTP/1.1 503");
        assertEquals(status("GET /malformed HTTP/1.1\r\nHost: h\r\n\r\n"), "HTTP/1.1 400");
    }

    // Guards against a proper body that is refused as malformed because the heap is full while it is read.
    @Test
    public void failedAllocationForABodyIsNoMalformedBody() throws Exception {
        status("POST /body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
        assertEquals(bodyFailures.poll(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "no-memory");
    }

    private String status(String request) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
        }
    }
}
