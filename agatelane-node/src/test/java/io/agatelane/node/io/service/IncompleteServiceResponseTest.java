package io.agatelane.node.io.service;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Responses of services that end early or have no status that ends a call. */
public class IncompleteServiceResponseTest {
    private static final int TIMEOUT_MILLIS = 5_000;
    // Ends a test whose call never ends.
    private static final int TEST_MILLIS = 30_000;
    private static final int RESET_ON_CLOSE = 0;
    private static final String LOAD = "{\"running\":0,\"waiting\":0,\"slots\":4}";
    private static final String WHOLE = "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\npart";

    private ServerSocket service;
    private HttpRouter router;
    private volatile String answer;
    private volatile boolean resets;

    @BeforeMethod
    public void start() throws Exception {
        service = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread acceptor = new Thread(this::accept, "service");
        acceptor.setDaemon(true);
        acceptor.start();
        router = new HttpRouter(TIMEOUT_MILLIS, "http://127.0.0.1:" + service.getLocalPort());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        router.close();
        service.close();
    }

    @DataProvider
    public Object[][] incomplete() {
        return new Object[][] {
            {"HTTP/1.1 201 Created\r\n\r\npart", true},
            {"HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\npart", false},
            {"HTTP/1.1 201 Created\r\nContent-Len", false},
            {"HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\npart", false},
            {"HTTP/1.1 600 Trouble\r\nContent-Length: 4\r\n\r\npart", false},
            {"HTTP/1.1 999 Trouble\r\nContent-Length: 4\r\n\r\npart", false},
            {"HTTP/1.1 101 Trouble\r\n\r\n", false},
            {"HTTP/1.1 102 Trouble\r\n\r\n", false},
            {"HTTP/1.1 199 Trouble\r\n\r\n", false},
        };
    }

    // Guards against a booking that is recorded with a part of its response, or with bytes that are none.
    @Test(dataProvider = "incomplete", timeOut = TEST_MILLIS)
    public void incompleteResponseLeavesTheOutcomeUnknown(String text, boolean reset) throws Exception {
        answer = text;
        resets = reset;
        HttpResponse<String> first = book();
        assertEquals(first.statusCode() / 100, 5, first.body());
        assertTrue(first.body().contains("\"executed\":\"unknown\""), first.body());
        answer = WHOLE;
        resets = false;
        HttpResponse<String> second = book();
        assertTrue(second.body().contains("\"executed\":\"unknown\""), second.body());
    }

    @DataProvider
    public Object[][] interim() {
        return new Object[][] {{"100 Continue"}, {"102 Processing"}, {"103 Early Hints"}};
    }

    // Guards against an interim response that is taken for the final one.
    @Test(dataProvider = "interim", timeOut = TEST_MILLIS)
    public void finalResponseIsReadAfterAnInterimOne(String status) throws Exception {
        answer = "HTTP/1.1 " + status + "\r\n\r\n" + WHOLE;
        HttpResponse<String> response = book();
        assertEquals(response.statusCode(), 201, response.body());
        assertEquals(response.body(), "part");
    }

    private HttpResponse<String> book() throws Exception {
        return router.send("POST", "/services/permits/renewals", "dossier", "Idempotency-Key", "key");
    }

    private void accept() {
        while (!service.isClosed()) {
            try {
                Socket socket = service.accept();
                Thread thread = new Thread(() -> serve(socket), "service-call");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String request = in.readLine();
            int bodyBytes = 0;
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                if (line.startsWith("Content-Length: ")) {
                    bodyBytes = Integer.parseInt(line.substring("Content-Length: ".length()));
                }
            }
            for (int i = 0; i < bodyBytes; i++) {
                in.read();
            }
            if (request.startsWith("POST")) {
                write(socket, answer);
                if (resets) {
                    // Lets the bytes before the reset arrive, which it would otherwise discard.
                    TimeUnit.MILLISECONDS.sleep(100);
                    socket.setSoLinger(true, RESET_ON_CLOSE);
                }
            } else if (request.startsWith("GET /load")) {
                write(
                        socket,
                        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + LOAD.length() + "\r\n\r\n" + LOAD);
            } else {
                write(socket, "HTTP/1.1 404 Unknown\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            }
        } catch (IOException | InterruptedException e) {
            // The router has closed the connection; the tests check what its caller gets.
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
