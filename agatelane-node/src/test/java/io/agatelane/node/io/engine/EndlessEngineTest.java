package io.agatelane.node.io.engine;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpFields;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays engines that send bytes without end. Only the router can end such a response. */
public class EndlessEngineTest {
    private static final int WAIT_SECONDS = 20;
    private static final long LONG_MILLIS = 60_000;
    private static final long SHORT_MILLIS = 2_000;
    // Both socket buffers of a loopback connection, which fill before the sender notices the close.
    private static final long SOCKET_BUFFER_BYTES = 12L << 20;
    private static final int FLOOD_WRITE_BYTES = 16 << 10;
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

    private final AtomicLong floodedBytes = new AtomicLong();
    private CountDownLatch closed;
    private ServerSocket server;
    private EngineClient client;

    @BeforeMethod
    public void start() throws Exception {
        floodedBytes.set(0);
        closed = new CountDownLatch(1);
        server = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        client = new EngineClient();
        client.start();
    }

    @AfterMethod
    public void stop() throws Exception {
        client.close();
        server.close();
    }

    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            {"header value", HEAD + "X-A: ", "a"},
            {"header lines", HEAD, "X-A: a\r\n"},
            {"status line", "HTTP/1.1 200 ", "a"},
            {"chunk extension", CHUNKED + "5;", "a=b;"},
            {"trailers", CHUNKED + "5\r\nwhole\r\n0\r\n", "X-A: a\r\n"},
            {"body of an error", "HTTP/1.1 500 Error\r\n\r\n", "body"},
        };
    }

    // Guards against a chat whose engine's bytes are read up to the deadline of the chat.
    @Test(dataProvider = "responses")
    public void endlessStreamIsEnded(String part, String start, String repeated) throws Exception {
        flood(start, repeated);
        EngineStream stream =
                new EngineStream(client.chat(url(), new byte[2], "id", "1", "1"), new Ignoring(), () -> 0);
        stream.start();
        assertBounded(part);
    }

    // Guards against an event without end, which the client's own handling of exceptions would not end.
    @Test
    public void endlessEventIsEnded() throws Exception {
        flood(HEAD + "Content-Type: text/event-stream\r\n\r\ndata: ", "a");
        EngineStream stream =
                new EngineStream(client.chat(url(), new byte[2], "id", "1", "1"), new Ignoring(), () -> 0);
        stream.start();
        assertBounded("event");
    }

    // Guards against a poll of an engine that is read on after its limit.
    @Test(dataProvider = "responses")
    public void endlessReportIsEnded(String part, String start, String repeated) throws Exception {
        flood(start, repeated);
        var unused = client.get(url(), "/load", LONG_MILLIS);
        assertBounded(part);
    }

    // Guards against interim responses that are read on for as long as they come.
    @Test
    public void endlessInterimResponsesAreNotReadOn() throws Exception {
        flood("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
        var unused = client.get(url(), "/load", SHORT_MILLIS);
        assertBounded("interim responses");
    }

    private void assertBounded(String part) throws Exception {
        assertTrue(closed.await(WAIT_SECONDS, TimeUnit.SECONDS), part + " is read on: " + floodedBytes.get());
        assertTrue(floodedBytes.get() < SOCKET_BUFFER_BYTES, part + ": " + floodedBytes.get());
    }

    private String url() {
        return "http://127.0.0.1:" + server.getLocalPort();
    }

    private void flood(String start, String repeated) {
        Thread thread = new Thread(
                () -> {
                    try (Socket socket = server.accept()) {
                        int unused = socket.getInputStream().read(new byte[FLOOD_WRITE_BYTES]);
                        socket.getOutputStream().write(start.getBytes(StandardCharsets.ISO_8859_1));
                        byte[] bytes = repeated.repeat(FLOOD_WRITE_BYTES / repeated.length())
                                .getBytes(StandardCharsets.ISO_8859_1);
                        while (true) {
                            socket.getOutputStream().write(bytes);
                            floodedBytes.addAndGet(bytes.length);
                        }
                    } catch (IOException e) {
                        // The client has closed the connection.
                        closed.countDown();
                    }
                },
                "engine");
        thread.setDaemon(true);
        thread.start();
    }

    private static final class Ignoring implements EngineStream.Listener {
        @Override
        public void onHeaders(EngineStream stream, HttpFields headers) {}

        @Override
        public void onEvent(EngineStream stream, SseParser.Event event) {}

        @Override
        public void whenReady(EngineStream stream, Runnable demand) {
            demand.run();
        }

        @Override
        public void onRefused(EngineStream stream, int status, HttpFields headers, String body) {}

        @Override
        public void onEnd(EngineStream stream, Throwable failure) {}
    }
}
