package io.agatelane.lab.path;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.agatelane.lab.engine.EngineServer;
import io.agatelane.lab.engine.TokenSource;
import io.agatelane.lab.load.ChatReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Flow;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the whole path from caller to upstream and back through real routers, with injected failures. */
public final class WholePathTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int TIMEOUT_SECONDS = 60;
    private static final int LONG_STREAM_TOKENS = 300;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private LocalDeployment deployment;

    @BeforeMethod
    public void start() throws Exception {
        deployment = new LocalDeployment();
    }

    @AfterMethod
    public void stop() {
        deployment.close();
    }

    /** Each caller gets its own complete stream while others run (invariants I2 and I4 in docs/design.md). */
    @Test
    public void concurrentStreamsAreCompleteAndNotMixedUp() throws Exception {
        List<CompletableFuture<ChatReader>> calls = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            calls.add(chat(i % 3, "question " + i, 20, ""));
        }
        for (int i = 0; i < calls.size(); i++) {
            assertComplete(calls.get(i).get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "question " + i, 20);
        }
    }

    /**
     * A stream continues on another engine after its engine crashes, without a lost or repeated token (invariant I2 in
     * docs/design.md).
     */
    @Test
    public void streamSurvivesTheCrashOfItsEngine() throws Exception {
        PartialReader stream = partialChat(0, "the long log", LONG_STREAM_TOKENS);
        stream.awaitTokens(20);
        deployment
                .engines
                .get(engineWithRequests())
                .applyFaults(JsonNodeFactory.instance.objectNode().put("crash", 1_000));
        stream.awaitEnd();
        assertComplete(stream.reader, "the long log", LONG_STREAM_TOKENS);
    }

    /**
     * A caller whose router stopped continues its stream at another router, from the token where it ended (invariant I2
     * in docs/design.md).
     */
    @Test
    public void callerResumesAtAnotherRouter() throws Exception {
        PartialReader first = partialChat(0, "the long log", LONG_STREAM_TOKENS);
        first.awaitTokens(20);
        deployment.routers.get(0).close();
        first.awaitEnd();
        assertFalse(first.reader.isDone(), "the stream ended before its router did");
        ChatReader remainder = chat(1, "the long log", LONG_STREAM_TOKENS, first.reader.lastEventId())
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(remainder.isDone(), "problem: " + remainder.problem());
        assertEquals(first.reader.text() + remainder.text(), expected("the long log", LONG_STREAM_TOKENS));
    }

    /** A router that shuts down gracefully finishes its streams and bookings (invariant I8 in docs/design.md). */
    @Test
    public void gracefulShutdownInterruptsNoRequest() throws Exception {
        List<CompletableFuture<ChatReader>> calls = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            calls.add(chat(1, "log " + i, 150, ""));
        }
        LocalDeployment.await(() -> deployment.engines.stream().anyMatch(WholePathTest::hasRequests));
        CompletableFuture<HttpResponse<String>> booking = sendBooking(1, "shutdown-key");
        deployment.routers.get(1).shutDownGracefully();
        for (int i = 0; i < calls.size(); i++) {
            assertComplete(calls.get(i).get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "log " + i, 150);
        }
        assertEquals(booking.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode(), 200);
        assertEquals(
                sendBooking(0, "shutdown-key")
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .statusCode(),
                200);
        assertEquals(executions("shutdown-key"), 1);
    }

    /**
     * A booking that is sent many times at once through all routers runs once, and all callers get its response
     * (invariants I4 and I6 in docs/design.md).
     */
    @Test
    public void bookingRunsOnceThroughAllRouters() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            calls.add(sendBooking(i % 3, "renewal-1"));
        }
        Set<String> bodies = new TreeSet<>();
        for (CompletableFuture<HttpResponse<String>> call : calls) {
            HttpResponse<String> response = call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertEquals(response.statusCode(), 200, response.body());
            bodies.add(response.body());
        }
        assertEquals(bodies.size(), 1, bodies.toString());
        assertEquals(executions("renewal-1"), 1);
    }

    /**
     * While the platform is unavailable, a refusal does not claim that no other router ran the booking; after the
     * outage the booking runs once (invariants I5 and I6 in docs/design.md).
     */
    @Test
    public void refusalDuringAnOutageLeavesExecutionUnknown() throws Exception {
        assertEquals(
                sendBooking(0, "before").get(TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode(), 200);
        setOutage(true);
        HttpResponse<String> refused = sendBooking(1, "during").get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(refused.statusCode(), 503, refused.body());
        assertEquals(MAPPER.readTree(refused.body()).path("executed").asText(), "unknown", refused.body());
        assertEquals(executions("during"), 0);
        setOutage(false);
        LocalDeployment.await(() ->
                sendBooking(2, "during").get(TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode() == 200);
        assertEquals(executions("during"), 1);
        assertEquals(executions("before"), 1);
    }

    /**
     * During a roll-out no request is refused, and each response comes entirely from one weights version (invariant I1
     * in docs/design.md).
     */
    @Test
    public void rollOutOfWeightsRefusesNoRequest() throws Exception {
        String oldText = expected("question", 10);
        String newText =
                TokenSource.of(LocalDeployment.MODEL, "v2", "user\nquestion\n").text(10);
        deployment.rollOut("v2");
        LocalDeployment.await(() -> {
            ChatReader reader = chat(1, "question", 10, "").get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertTrue(reader.isDone(), "problem: " + reader.problem());
            assertTrue(reader.text().equals(newText) || reader.text().equals(oldText), reader.text());
            return reader.text().equals(newText) && deployment.allEnginesRun("v2");
        });
    }

    /**
     * A router that starts while the platform is unavailable serves with the configuration of a peer (invariant I3 in
     * docs/design.md).
     */
    @Test
    public void routerRestartsDuringAnOutage() throws Exception {
        setOutage(true);
        deployment.routers.get(2).close();
        deployment.restart(2);
        assertTrue(deployment.routers.get(2).isReady(), "the restarted router has no configuration");
        assertComplete(chat(2, "question", 10, "").get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "question", 10);
    }

    private void setOutage(boolean outage) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create(deployment.platform.url() + "/lab/faults"))
                .PUT(HttpRequest.BodyPublishers.ofString("{\"outage\":" + outage + "}"))
                .build();
        assertEquals(client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode(), 200);
    }

    private CompletableFuture<ChatReader> chat(int router, String question, int tokens, String lastEventId) {
        return client.sendAsync(
                        chatRequest(router, question, tokens, lastEventId), HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> {
                    assertEquals(response.statusCode(), 200, response.body());
                    ChatReader reader = new ChatReader(() -> {});
                    reader.feed(ByteBuffer.wrap(response.body().getBytes(StandardCharsets.UTF_8)));
                    return reader;
                });
    }

    private PartialReader partialChat(int router, String question, int tokens) {
        PartialReader partial = new PartialReader();
        client.sendAsync(chatRequest(router, question, tokens, ""), HttpResponse.BodyHandlers.fromSubscriber(partial))
                .exceptionally(failure -> null);
        return partial;
    }

    private HttpRequest chatRequest(int router, String question, int tokens, String lastEventId) {
        String body = JsonNodeFactory.instance
                .objectNode()
                .put("model", LocalDeployment.MODEL)
                .put("stream", true)
                .put("max_tokens", tokens)
                .set(
                        "messages",
                        JsonNodeFactory.instance
                                .arrayNode()
                                .add(JsonNodeFactory.instance
                                        .objectNode()
                                        .put("role", "user")
                                        .put("content", question)))
                .toString();
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create(deployment.url(router) + "/v1/chat/completions"))
                .header("Authorization", "Bearer " + LocalDeployment.API_KEY)
                .POST(HttpRequest.BodyPublishers.ofString(body));
        if (!lastEventId.isEmpty()) {
            request.header("Last-Event-ID", lastEventId);
        }
        return request.build();
    }

    private CompletableFuture<HttpResponse<String>> sendBooking(int router, String key) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(deployment.url(router) + "/services/permits/renewals"))
                .header("Authorization", "Bearer " + LocalDeployment.API_KEY)
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString("{\"permit\":\"skip-1\"}"))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private int executions(String key) throws Exception {
        int total = 0;
        for (int i = 0; i < deployment.services.size(); i++) {
            URI uri = URI.create(deployment.services.get(i).url() + "/executions");
            HttpResponse<String> response =
                    client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
            JsonNode counts = MAPPER.readTree(response.body());
            total += counts.path(key).asInt();
        }
        return total;
    }

    private static boolean hasRequests(EngineServer engine) {
        return engine.counters().path("requests").asInt() > 0;
    }

    private int engineWithRequests() {
        for (int i = 0; i < deployment.engines.size(); i++) {
            if (hasRequests(deployment.engines.get(i))) {
                return i;
            }
        }
        throw new IllegalStateException("no engine has a request");
    }

    private static void assertComplete(ChatReader reader, String question, int tokens) {
        assertTrue(reader.isDone(), "no end marker; problem: " + reader.problem());
        assertTrue(reader.problem().isEmpty(), reader.problem());
        assertEquals(reader.text(), expected(question, tokens));
    }

    private static String expected(String question, int tokens) {
        return TokenSource.of(LocalDeployment.MODEL, "v1", "user\n" + question + "\n")
                .text(tokens);
    }

    /** Reads a stream while it arrives. */
    private static final class PartialReader implements Flow.Subscriber<List<ByteBuffer>> {
        private final ChatReader reader = new ChatReader(() -> {});
        private final CountDownLatch ended = new CountDownLatch(1);

        @Override
        public void onSubscribe(Flow.Subscription subscription) {
            subscription.request(Long.MAX_VALUE);
        }

        @Override
        public synchronized void onNext(List<ByteBuffer> buffers) {
            buffers.forEach(reader::feed);
        }

        @Override
        public void onError(Throwable throwable) {
            ended.countDown();
        }

        @Override
        public void onComplete() {
            ended.countDown();
        }

        private synchronized int tokens() {
            return reader.tokens();
        }

        private void awaitTokens(int count) throws Exception {
            LocalDeployment.await(() -> tokens() >= count);
        }

        private void awaitEnd() throws InterruptedException {
            assertTrue(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the connection stayed open");
        }
    }
}
