package io.agatelane.node.io.orders;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.model.Upstream;
import io.agatelane.core.orders.DesiredState;
import io.agatelane.core.orders.EngineState;
import io.agatelane.core.orders.SendOutcome;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class HttpEngineOrderClientTest {
    private Server server;
    private HttpEngineOrderClient orders;
    private Upstream engine;
    private volatile int status;
    private volatile String responseBody;
    private volatile String requestBody;

    @BeforeMethod
    public void open() throws Exception {
        status = 200;
        responseBody = "{}";
        server = new Server();
        ServerConnector connector = new ServerConnector(server);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new Handler.Abstract() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) throws Exception {
                requestBody = request.getMethod() + " " + request.getHttpURI().getPath() + " "
                        + Content.Source.asString(request, StandardCharsets.UTF_8);
                response.setStatus(status);
                Content.Sink.write(response, true, responseBody, callback);
                return true;
            }
        });
        server.start();
        engine = new Upstream(
                "e", "http://127.0.0.1:" + connector.getLocalPort(), "z", List.of("m"), "", 1, true, false);
        orders = new HttpEngineOrderClient(5_000);
    }

    @AfterMethod
    public void close() throws Exception {
        orders.close();
        server.stop();
    }

    // Guards against orders whose JSON differs from the interface of engines, and against responses that are mapped
    // to a wrong outcome.
    @Test
    public void sendsOrdersAndMapsStatusToOutcome() throws Exception {
        DesiredState desired = new DesiredState("m", "v2", "", "");
        assertEquals(orders.sendOrder(engine, 1L << 40, desired).get(), SendOutcome.IN_FORCE);
        assertEquals(
                requestBody,
                "POST /orders {\"fencing_number\":1099511627776,\"model\":\"m\",\"weights_version\":\"v2\"}");
        status = 409;
        assertEquals(orders.sendOrder(engine, 7, desired).get(), SendOutcome.STALE);
        status = 400;
        assertEquals(orders.sendOrder(engine, 7, desired).get(), SendOutcome.REFUSED);
        status = 500;
        assertEquals(orders.sendOrder(engine, 7, desired).get(), SendOutcome.UNKNOWN);
        server.stop();
        assertEquals(orders.sendOrder(engine, 7, desired).get(), SendOutcome.REFUSED);
    }

    // Guards against an order that counts as possibly carried out because it was sent on a kept connection of an engine
    // that had ended.
    @Test
    public void orderToAnEngineThatHasEndedIsRefused() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Upstream ended = new Upstream(
                    "e", "http://127.0.0.1:" + listener.getLocalPort(), "z", List.of("m"), "", 1, true, false);
            CompletableFuture<SendOutcome> first = orders.sendOrder(ended, 7, new DesiredState("m", "v2", "", ""));
            try (Socket connection = listener.accept()) {
                awaitOrder(connection.getInputStream());
                connection
                        .getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertEquals(first.get(), SendOutcome.IN_FORCE);
                listener.close();
                // The engine's side of the first connection stays open, as after a loss of power.
                assertEquals(
                        orders.sendOrder(ended, 7, new DesiredState("m", "v3", "", ""))
                                .get(),
                        SendOutcome.REFUSED);
            }
        }
    }

    // A response that comes before its request has been written leaves the outcome unknown.
    private static void awaitOrder(InputStream in) throws IOException {
        int read = in.read();
        while (read != '}') {
            assertTrue(read >= 0, "the connection ended before the order");
            read = in.read();
        }
    }

    // Guards against a malformed or failed response that is read as a state, and against failures without a type.
    @Test
    public void readsStateAndReportsFailureType() throws Exception {
        responseBody = "{\"fencing_number\":3,\"model\":\"m\",\"weights_version\":\"v1\",\"role\":\"serving\"}";
        assertEquals(orders.readState(engine).get(), new EngineState("m", "v1", "", "serving"));
        responseBody = "{\"model\":";
        assertEquals(readFailure().type(), FailureType.UPSTREAM_FAILED);
        responseBody = "";
        assertEquals(readFailure().type(), FailureType.UPSTREAM_FAILED);
        status = 503;
        assertEquals(readFailure().location(), "e");
        server.stop();
        assertEquals(readFailure().type(), FailureType.UPSTREAM_FAILED);
    }

    private AgatelaneException readFailure() {
        assertThrows(ExecutionException.class, () -> orders.readState(engine).get());
        return AgatelaneException.from(
                orders.readState(engine).handle((state, failure) -> failure).join());
    }
}
