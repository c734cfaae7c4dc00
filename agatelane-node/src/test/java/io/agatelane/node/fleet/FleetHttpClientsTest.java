package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.agatelane.node.io.http.AbortiveClose;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class FleetHttpClientsTest {
    private static final int MAX_HEAD_BYTES = 8_192;
    private static final int WAIT_SECONDS = 30;

    private ExecutorService executor;
    private ScheduledExecutorScheduler scheduler;

    @BeforeMethod
    public void start() throws Exception {
        executor = Executors.newCachedThreadPool();
        scheduler = new ScheduledExecutorScheduler("test", true);
        scheduler.start();
    }

    @AfterMethod
    public void stop() throws Exception {
        scheduler.stop();
        executor.shutdownNow();
    }

    // Guards against a sound stream that is cut because its upstream is silent for longer than a fixed time; the
    // deadline of the request ends it.
    @Test
    public void silenceOfAnUpstreamEndsNoRequest() throws Exception {
        HttpClient client = FleetHttpClients.forRequests(executor, scheduler, MAX_HEAD_BYTES);
        try {
            assertEquals(client.getIdleTimeout(), 0);
        } finally {
            client.stop();
        }
    }

    // Guards against an order that was given up and arrives later, when a link that was cut heals: only a reset lets
    // the operating system discard what it has not delivered.
    @Test
    public void givenUpCommandResetsItsConnection() throws Exception {
        HttpClient client = FleetHttpClients.forRequests(executor, scheduler, MAX_HEAD_BYTES);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CountDownLatch ended = new CountDownLatch(1);
            AbortiveClose.onFailure(client.newRequest("http://127.0.0.1:" + server.getLocalPort() + "/order"))
                    .timeout(300, TimeUnit.MILLISECONDS)
                    .send(result -> ended.countDown());
            try (Socket connection = server.accept()) {
                assertTrue(ended.await(WAIT_SECONDS, TimeUnit.SECONDS));
                // The end of a regular close would be read as -1.
                expectThrows(
                        IOException.class, () -> connection.getInputStream().readAllBytes());
            }
        } finally {
            client.stop();
        }
    }

    // Guards against answered commands whose connections are reset, which servers report as failures.
    @Test
    public void answeredCommandClosesItsConnectionRegularly() throws Exception {
        HttpClient client = FleetHttpClients.forRequests(executor, scheduler, MAX_HEAD_BYTES);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Result> ended = new CompletableFuture<>();
            AbortiveClose.onFailure(client.newRequest("http://127.0.0.1:" + server.getLocalPort() + "/order"))
                    .send(ended::complete);
            try (Socket connection = server.accept()) {
                BufferedReader requests = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
                // The client gives up a request whose response comes before it was sent.
                readHead(requests);
                connection
                        .getOutputStream()
                        .write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                Result result = ended.get(WAIT_SECONDS, TimeUnit.SECONDS);
                assertNull(result.getFailure());
                assertEquals(result.getResponse().getStatus(), 202);
                // A reset would end this with an exception.
                assertNull(requests.readLine(), "read to the regular end");
            }
        } finally {
            client.stop();
        }
    }

    // Guards against a start that loads the certificates of the JDK, which takes a quarter of its processor time.
    @Test
    public void clientsLoadNoCertificates() throws Exception {
        HttpClient client = FleetHttpClients.forControl(executor, scheduler, MAX_HEAD_BYTES);
        try {
            assertNull(client.getSslContextFactory());
        } finally {
            client.stop();
        }
    }

    // Guards against a late second copy of a response on a pooled connection that is taken for the next response.
    @Test
    public void secondCopyOnAPooledConnectionReachesNobody() throws Exception {
        HttpClient client = FleetHttpClients.forControl(executor, scheduler, MAX_HEAD_BYTES);
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))) {
            executor.execute(() -> accept(server, received, closed));
            String url = "http://127.0.0.1:" + server.getLocalPort();
            assertEquals(client.GET(url + "/first").getContentAsString(), "/first");
            received.countDown();
            assertTrue(closed.await(WAIT_SECONDS, TimeUnit.SECONDS));
            for (int i = 0; i < 5; i++) {
                assertEquals(client.GET(url + "/" + i).getContentAsString(), "/" + i);
            }
        } finally {
            client.stop();
        }
    }

    private static void readHead(BufferedReader requests) throws IOException {
        String line = requests.readLine();
        while (line != null && !line.isEmpty()) {
            line = requests.readLine();
        }
    }

    private void accept(ServerSocket server, CountDownLatch received, CountDownLatch closed) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                executor.execute(() -> serve(socket, received, closed));
            } catch (IOException e) {
                // The test has closed the server.
                return;
            }
        }
    }

    // Answers each request with its path, and the first request a second time.
    private static void serve(Socket socket, CountDownLatch received, CountDownLatch closed) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (!line.startsWith("GET ")) {
                    continue;
                }
                String path = line.split(" ", -1)[1];
                respond(socket, path);
                if (path.equals("/first")) {
                    received.await();
                    respond(socket, path);
                    // The client closes the connection, because no request belongs to the bytes.
                    if (isClosed(in)) {
                        closed.countDown();
                    }
                    return;
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean isClosed(BufferedReader in) {
        try {
            String line = in.readLine();
            while (line != null && !line.startsWith("GET ")) {
                line = in.readLine();
            }
            return line == null;
        } catch (IOException e) {
            // The client has reset the connection.
            return true;
        }
    }

    private static void respond(Socket socket, String path) throws IOException {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path;
        socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }
}
