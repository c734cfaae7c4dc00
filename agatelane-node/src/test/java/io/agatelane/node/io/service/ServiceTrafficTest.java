package io.agatelane.node.io.service;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.node.api.MemberState;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests service traffic over real HTTP connections. */
public class ServiceTrafficTest {
    private static final int TIMEOUT_MILLIS = 5_000;

    private PermitService service;
    private HttpRouter router;

    @BeforeMethod
    public void start() throws Exception {
        service = new PermitService();
        router = new HttpRouter(TIMEOUT_MILLIS, service.baseUrl());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        router.close();
        service.close();
    }

    /** Guards against a retry that runs the call again or gets another response than the first call. */
    @Test
    public void retryGetsTheFirstResponseUnchanged() throws Exception {
        HttpResponse<String> first = book("key-1", "dossier");
        HttpResponse<String> second = book("key-1", "dossier");
        assertEquals(first.statusCode(), 201);
        assertEquals(first.headers().firstValue("Content-Type").orElse(""), "application/vnd.permits+json");
        assertEquals(second.statusCode(), first.statusCode());
        assertEquals(second.body(), first.body());
        assertEquals(
                second.headers().firstValue("Content-Type"), first.headers().firstValue("Content-Type"));
        assertEquals(service.runs("key-1"), 1);
    }

    /** Guards against a retry that gets no response, or a truncated one, when the first response was long. */
    @Test
    public void longResponseIsRepeated() throws Exception {
        service.responseBytes = 200_000;
        HttpResponse<String> first = book("key-1", "dossier");
        assertEquals(book("key-1", "dossier").body(), first.body());
        assertEquals(first.body().length(), 200_006);
    }

    /** Guards against invalid requests that reach a service, and against refusals with the wrong status or problem. */
    @Test
    public void invalidRequestsGetProblemDocuments() throws Exception {
        assertProblem(router.send("POST", "/services/permits/renewals", "x"), 400, "no");
        assertProblem(router.send("POST", "/services/permits/other", "x", "Idempotency-Key", "k"), 404, "no");
        assertProblem(router.send("POST", "/services/other/renewals", "x", "Idempotency-Key", "k"), 404, "no");
        assertProblem(
                router.send(
                        "POST",
                        "/services/permits/renewals",
                        "x",
                        "Idempotency-Key",
                        "k",
                        "Authorization",
                        "Bearer wrong"),
                401,
                "no");
        assertProblem(book("k", "x".repeat((1 << 20) + 1)), 413, "no");
        assertEquals(service.runs.size(), 0);
        book("k", "one body");
        assertProblem(book("k", "another body"), 422, "no");
        assertEquals(service.runs("k"), 1);
    }

    /** Guards against a connection that is closed without notice after a refusal whose body had not arrived. */
    @Test
    public void refusalBeforeTheBodyAnnouncesTheClose() throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), router.port())) {
            String head = "POST /services/other/renewals HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                    + "Authorization: Bearer wrong\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            List<String> lines = new ArrayList<>();
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                lines.add(line);
            }
            assertTrue(lines.get(0).contains(" 401 "), lines.get(0));
            assertTrue(lines.contains("Connection: close"), lines.toString());
        }
    }

    /** Guards against a connection that is closed without notice after a body over the limit was refused. */
    @Test
    public void requestAfterTooLargeBodyIsServed() throws Exception {
        for (int i = 0; i < 20; i++) {
            assertProblem(book("large-" + i, "x".repeat((1 << 20) + 100_000 * i + 1)), 413, "no");
            assertEquals(book("key-" + i, "dossier").statusCode(), 201);
        }
    }

    /** Guards against automatic retries of the HTTP client after the connection breaks. */
    @Test
    public void brokenConnectionIsNotRetried() throws Exception {
        service.mode = PermitService.Mode.CLOSE_CONNECTION;
        assertProblem(book("key-1", "dossier"), 502, "unknown");
        HttpResponse<String> retry = book("key-1", "dossier");
        assertEquals(retry.body(), "recorded", "the status call shows that the call ran");
        assertEquals(service.runs("key-1"), 1);
    }

    /** Guards against an HTTP client that follows a redirect and thereby sends a booked call twice. */
    @Test
    public void redirectIsForwarded() throws Exception {
        service.mode = PermitService.Mode.REDIRECT;
        assertEquals(book("key-1", "dossier").statusCode(), 307);
        assertEquals(service.runs("key-1"), 1);
    }

    /** Guards against a claim that stays, or a call reported as possibly run, when no instance accepts a connection. */
    @Test
    public void refusedConnectionReleasesTheClaim() throws Exception {
        try (HttpRouter other = new HttpRouter(TIMEOUT_MILLIS, closedPort())) {
            HttpResponse<String> refused =
                    other.send("POST", "/services/permits/renewals", "x", "Idempotency-Key", "k");
            assertProblem(refused, 503, "no");
            assertTrue(refused.body().contains("no-upstream"), refused.body());
            assertProblem(other.send("POST", "/services/permits/renewals", "x", "Idempotency-Key", "k"), 503, "no");
        }
    }

    /** Guards against calls to a dead instance while another one is alive. */
    @Test
    public void deadInstanceIsSkipped() throws Exception {
        try (HttpRouter other = new HttpRouter(TIMEOUT_MILLIS, closedPort(), service.baseUrl())) {
            for (int i = 0; i < 8; i++) {
                String key = "key-" + i;
                assertEquals(
                        other.send("POST", "/services/permits/renewals", "x", "Idempotency-Key", key)
                                .statusCode(),
                        201);
                assertEquals(service.runs(key), 1);
                assertEquals(
                        other.send("GET", "/services/permits/status/" + key, "").body(), "recorded");
            }
        }
    }

    /** Guards against refusals that wait for the platform or deny a run, and against responses lost in an outage. */
    @Test
    public void outageRefusesOnlyNewBookings() throws Exception {
        HttpResponse<String> first = book("key-1", "dossier");
        router.store.setOutage(true);
        HttpResponse<String> refused = book("key-2", "dossier");
        assertProblem(refused, 503, "unknown");
        assertEquals(refused.headers().firstValue("Retry-After").orElse(""), "1");
        assertEquals(book("key-1", "dossier").body(), first.body());
        assertEquals(service.runs("key-2"), 0);
        router.store.setOutage(false);
        awaitStatus("key-2", 201);
        assertEquals(service.runs("key-2"), 1);
    }

    /** Guards against a second run when a retry reaches another router, also after the first router has stopped. */
    @Test
    public void retryThroughAnotherRouter() throws Exception {
        FakeControl clock = new FakeControl();
        FakeKeyValueStore platform = new FakeKeyValueStore(clock);
        UncertainStore shared = new UncertainStore(platform, clock, RandomSource.XO_SHI_RO_256_PP.create(1));
        try (HttpRouter first = new HttpRouter("vm-1", platform, shared, TIMEOUT_MILLIS, service.baseUrl());
                HttpRouter second = new HttpRouter("vm-2", platform, shared, TIMEOUT_MILLIS, service.baseUrl())) {
            first.join(second);
            second.join(first);
            for (int i = 0; i < 20; i++) {
                HttpResponse<String> response = first.book("key-" + i);
                assertEquals(response.statusCode(), 201);
                assertEquals(second.book("key-" + i).body(), response.body());
            }
            first.traffic.drained().get(10, TimeUnit.SECONDS);
            first.close();
            second.membership.put("vm-1", MemberState.DEAD, 1);
            for (int i = 0; i < 20; i++) {
                assertEquals(second.book("key-" + i).statusCode(), 201);
                assertEquals(service.runs("key-" + i), 1);
            }
        }
    }

    /** Guards against a call without a response that blocks its caller, or runs again on a retry. */
    @Test
    public void callWithoutResponseTimesOut() throws Exception {
        service.mode = PermitService.Mode.NO_RESPONSE;
        try (HttpRouter other = new HttpRouter(300, service.baseUrl())) {
            assertProblem(other.book("key-1"), 504, "unknown");
            assertEquals(other.book("key-1").body(), "recorded");
            assertEquals(service.runs("key-1"), 1);
        }
    }

    /** Guards against new calls to an instance that reports itself as draining. */
    @Test
    public void drainingInstanceGetsNoCall() throws Exception {
        service.loadReport = "{\"running\":0,\"waiting\":0,\"slots\":4,\"role\":\"draining\"}";
        awaitStatus("key", 503);
    }

    /** Guards against paths that are matched in one form and forwarded in another. */
    @Test
    public void pathsAreForwardedUnchanged() throws Exception {
        book("a%20b", "dossier");
        assertEquals(
                router.send("GET", "/services/permits/status/a%20b?x=%2F", "").body(), "recorded");
        assertEquals(
                router.send("GET", "/services/permits/status/../renewals", "").statusCode(), 404);
        assertProblem(router.send("GET", "/services/permits/status/a/../b", ""), 400, "no");
    }

    /** Guards against a shutdown that breaks running requests, or refuses new ones without a "not run". */
    @Test
    public void drainRefusesNewRequests() throws Exception {
        book("key-1", "dossier");
        router.traffic.refuseNewRequests();
        router.traffic.drained().get(10, TimeUnit.SECONDS);
        assertProblem(book("key-2", "dossier"), 503, "no");
        assertEquals(service.runs("key-2"), 0);
    }

    private HttpResponse<String> book(String key, String body) throws Exception {
        return router.send("POST", "/services/permits/renewals", body, "Idempotency-Key", key);
    }

    // The router detects a changed state of an instance or of the platform only with its next periodic call.
    private void awaitStatus(String firstKey, int status) throws Exception {
        String key = firstKey;
        int last = 0;
        for (int i = 0; i < 500 && last != status; i++) {
            last = book(key, "dossier").statusCode();
            key = status == 503 ? "key-" + i : key;
            Thread.sleep(10);
        }
        assertEquals(last, status);
    }

    private static void assertProblem(HttpResponse<String> response, int status, String executed) {
        assertEquals(response.statusCode(), status, response.body());
        assertEquals(response.headers().firstValue("Content-Type").orElse(""), "application/problem+json");
        assertTrue(response.body().contains("\"executed\":\"" + executed + "\""), response.body());
    }

    private static String closedPort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "http://127.0.0.1:" + socket.getLocalPort();
        }
    }
}
