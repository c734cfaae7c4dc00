package io.agatelane.node.io.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.model.ClientAccount;
import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.model.Model;
import io.agatelane.node.fakes.FakeConfigView;
import io.agatelane.node.io.http.Authenticator;
import java.io.BufferedReader;
import java.io.InputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EngineTrafficTest {
    private final FakeConfigView config = new FakeConfigView();
    private FakeEngine one;
    private FakeEngine two;
    private EngineTestRouter router;

    @BeforeMethod
    public void start() throws Exception {
        one = new FakeEngine("e1");
        two = new FakeEngine("e2");
        config.set(ConfigSnapshot.builder()
                .revision(1)
                .add(new ClientAccount("a", List.of(Authenticator.sha256Hex(EngineTestRouter.KEY)), 0, 0, 1, ""))
                .add(new ClientAccount("b", List.of(Authenticator.sha256Hex("key-b")), 0, 0, 1, ""))
                .add(new Model("m", "v1", 100_000, 100, ""))
                .add(one.upstream("m"))
                .add(two.upstream("m"))
                .build());
        router = new EngineTestRouter("r1", config, new FakeGossipHintExchange());
        router.awaitReady(2);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        router.close();
        one.close();
        two.close();
    }

    // Guards against callers that get an incomplete stream, or one without an end (I2).
    @Test
    public void streamsEveryTokenInOrder() throws Exception {
        List<EngineTestRouter.Event> events = EngineTestRouter.events(
                router.post(EngineTestRouter.body(true, "hello")).body());
        assertEquals(EngineTestRouter.content(events), FakeEngine.text(0, 6));
        assertEquals(events.get(events.size() - 1).data(), "[DONE]");
        assertTrue(
                events.get(0).id().matches("e[12]~1~[0-9a-f-]+\\.1~0"),
                events.get(0).id());
        EngineTestRouter.await("slots released", () -> router.inFlight() == 0);
    }

    // Guards against non-streaming callers that get a stream or a part of the text.
    @Test
    public void returnsOneDocumentWithoutStreaming() throws Exception {
        HttpResponse<String> response = router.post(EngineTestRouter.body(false, "hello"));
        assertEquals(response.statusCode(), 200);
        EngineTestRouter.Event document = new EngineTestRouter.Event("", "", response.body());
        assertEquals(document.json().at("/choices/0/message/content").asText(), FakeEngine.text(0, 6));
        assertEquals(document.json().at("/usage/completion_tokens").asInt(), 6);
        EngineTestRouter.await("slots released", () -> router.inFlight() == 0);
    }

    // Guards against tool calls that reach a caller without a stream in pieces or not at all.
    @Test
    public void mergesToolCalls() throws Exception {
        one.toolCalls = true;
        two.toolCalls = true;
        HttpResponse<String> response = router.post(EngineTestRouter.body(false, "hello"));
        var call = new EngineTestRouter.Event("", "", response.body()).json().at("/choices/0/message/tool_calls/0");
        assertEquals(call.at("/function/name").asText(), "look_up");
        assertEquals(call.at("/function/arguments").asText(), FakeEngine.text(0, 6));
    }

    @DataProvider
    public Object[][] badBodies() {
        return new Object[][] {
            {"{", 400, "malformed-request"},
            {"[]", 400, "malformed-request"},
            {"{\"model\":\"m\"}", 400, "malformed-request"},
            {"{\"model\":\"m\",\"messages\":[1]}", 400, "malformed-request"},
            {"{\"model\":\"m\",\"n\":2,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}", 400, "malformed-request"
            },
            {"{\"model\":\"x\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}", 404, "model-not-found"},
            {"x".repeat((1 << 20) + 1), 413, "body-too-large"},
        };
    }

    // Guards against untyped refusals and against bad input that reaches an engine.
    @Test(dataProvider = "badBodies")
    public void refusesBadInput(String body, int status, String type) throws Exception {
        HttpResponse<String> response = router.post(body);
        assertProblem(response, status, type);
        assertTrue(one.bodies.isEmpty() && two.bodies.isEmpty());
    }

    // Guards against calls without a valid key, and against wrong methods that end without a typed error response.
    @Test
    public void refusesWrongKeysAndMethods() throws Exception {
        HttpRequest.Builder post = router.request("/v1/chat/completions")
                .POST(HttpRequest.BodyPublishers.ofString(EngineTestRouter.body(false, "x")));
        assertProblem(
                router.send(post.setHeader("Authorization", "Bearer wrong").build()), 401, "unauthenticated");
        HttpRequest get = router.request("/v1/chat/completions").GET().build();
        assertProblem(router.send(get), 405, "method-not-allowed");
        assertProblem(router.send(router.request("/nowhere").GET().build()), 404, "not-found");
        HttpResponse<String> models =
                router.send(router.request("/v1/models").GET().build());
        assertTrue(models.body().contains("\"id\":\"m\""), models.body());
    }

    // Guards against engines that go on computing for a caller that disconnected, and against leaked slots.
    @Test
    public void cancelsWhenTheCallerLeaves() throws Exception {
        one.holdAt = 2;
        two.holdAt = 2;
        one.tokens = 20_000;
        two.tokens = 20_000;
        HttpResponse<InputStream> response = router.openStream(EngineTestRouter.body(true, "hello"));
        BufferedReader reader = EngineTestRouter.reader(response);
        EngineTestRouter.readEvent(reader);
        assertEquals(router.inFlight(), 1);
        response.body().close();
        one.holdLatch.countDown();
        two.holdLatch.countDown();
        EngineTestRouter.await("cancelled", () -> one.cancelled.size() + two.cancelled.size() == 1);
        EngineTestRouter.await("slots released", () -> router.inFlight() == 0);
        EngineTestRouter.await("call ended", () -> router.counter("chat_active") == 0);
    }

    // Guards against tokens lost when the caller reads more slowly than the engine writes, and against memory that
    // grows with the stream: the router must apply backpressure to the engine.
    @Test
    public void appliesBackpressureForSlowCallers() throws Exception {
        one.tokens = 60_000;
        two.tokens = 60_000;
        BufferedReader reader = EngineTestRouter.reader(router.openStream(EngineTestRouter.body(true, "hello")));
        EngineTestRouter.readEvent(reader);
        EngineTestRouter.await("an engine stream is open", () -> one.openStreams.get() + two.openStreams.get() == 1);
        StringBuilder text = new StringBuilder("w0 ");
        EngineTestRouter.Event event = EngineTestRouter.readEvent(reader);
        while (!event.data().equals("[DONE]")) {
            text.append(EngineTestRouter.content(List.of(event)));
            event = EngineTestRouter.readEvent(reader);
        }
        assertEquals(text.toString(), FakeEngine.text(0, 60_000));
    }

    // Guards against a shutdown that cuts a running stream or accepts more work (I8).
    @Test
    public void drainsWithoutCuttingStreams() throws Exception {
        one.holdAt = 2;
        two.holdAt = 2;
        BufferedReader reader = EngineTestRouter.reader(router.openStream(EngineTestRouter.body(true, "hello")));
        EngineTestRouter.readEvent(reader);
        router.traffic.refuseNewRequests();
        HttpResponse<String> refused = router.post(EngineTestRouter.body(true, "other"));
        assertProblem(refused, 503, "shutting-down");
        assertTrue(refused.headers().firstValue("Retry-After").isPresent());
        assertFalse(router.traffic.drained().isDone());
        one.holdLatch.countDown();
        two.holdLatch.countDown();
        EngineTestRouter.Event last = EngineTestRouter.readEvent(reader);
        while (!last.data().equals("[DONE]")) {
            last = EngineTestRouter.readEvent(reader);
        }
        EngineTestRouter.await("drained", () -> router.traffic.drained().isDone());
    }

    private static void assertProblem(HttpResponse<String> response, int status, String type) {
        assertEquals(response.statusCode(), status, response.body());
        assertEquals(response.headers().firstValue("Content-Type").orElse(""), "application/problem+json");
        assertTrue(response.body().contains("urn:agatelane:problem:" + type), response.body());
        assertTrue(response.body().contains("\"executed\":\"no\""), response.body());
    }
}
