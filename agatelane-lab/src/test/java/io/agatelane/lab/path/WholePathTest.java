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

/** Guards the path from caller to upstream and back through real routers, with failures on the way. */
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

    /** Guards I2 and I4: each caller gets its own whole stream, though others run at the same time. */
    @Test
    public void concurrentStreamsAreCompleteAndTheCallersOwn() throws Exception {
        List<CompletableFuture<ChatReader>> calls = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            calls.add(chat(i % 3, "question " + i, 20, ""));
        }
        for (int i = 0; i < calls.size(); i++) {
            assertComplete(calls.get(i).get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "question " + i, 20);
        }
    }

    /** Guards I2: a stream goes on elsewhere when its engine crashes, without a lost or repeated token. */
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

    /** Guards I2: a caller whose router is gone goes on at another router where its stream stopped. */
    @Test
    public void callerResumesAtAnotherRouter() throws Exception {
        PartialReader first = partialChat(0, "the long log", LONG_STREAM_TOKENS);
        first.awaitTokens(20);
        deployment.routers.get(0).close();
        first.awaitEnd();
        assertFalse(first.reader.isDone(), "the stream ended before its router did");
        ChatReader rest = chat(1, "the long log", LONG_STREAM_TOKENS, first.reader.lastEventId())
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(rest.isDone(), "problem: " + rest.problem());
        assertEquals(first.reader.text() + rest.text(), expected("the long log", LONG_STREAM_TOKENS));
    }

    /** Guards I8: a router that is told to stop finishes its streams and its bookings. */
    @Test
    public void gracefulShutdownCutsNoRequest() throws Exception {
        List<CompletableFuture<ChatReader>> calls = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            calls.add(chat(1, "log " + i, 150, ""));
        }
        LocalDeployment.await(() -> deployment.engines.stream().anyMatch(WholePathTest::hasRequests));
        CompletableFuture<HttpResponse<String>> booking = book(1, "shutdown-key");
        deployment.routers.get(1).shutDownGracefully();
        for (int i = 0; i < calls.size(); i++) {
            assertComplete(calls.get(i).get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "log " + i, 150);
        }
        assertEquals(booking.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode(), 200);
        assertEquals(
                book(0, "shutdown-key").get(TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode(), 200);
        assertEquals(executions("shutdown-key"), 1);
    }

    /** Guards I6 and I4: a booking sent many times at once through all routers runs once, and all get its answer. */
    @Test
    public void bookingRunsOnceThroughAllRouters() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            calls.add(book(i % 3, "renewal-1"));
        }
        Set<String> answers = new TreeSet<>();
        for (CompletableFuture<HttpResponse<String>> call : calls) {
            HttpResponse<String> answer = call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertEquals(answer.statusCode(), 200, answer.body());
            answers.add(answer.body());
        }
        assertEquals(answers.size(), 1, answers.toString());
        assertEquals(executions("renewal-1"), 1);
    }

    /** Guards I5 and I6: while the platform is out, a refusal claims nothing about other owners; afterwards it runs once. */
    @Test
    public void bookingDuringAnOutageIsRefusedTruthfully() throws Exception {
        assertEquals(book(0, "before").get(TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode(), 200);
        setOutage(true);
        HttpResponse<String> refused = book(1, "during").get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(refused.statusCode(), 503, refused.body());
        assertEquals(MAPPER.readTree(refused.body()).path("executed").asText(), "unknown", refused.body());
        assertEquals(executions("during"), 0);
        setOutage(false);
        LocalDeployment.await(
                () -> book(2, "during").get(TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode() == 200);
        assertEquals(executions("during"), 1);
        assertEquals(executions("before"), 1);
    }

    /** Guards I1 and service under a roll-out: each answer comes whole from one version, and none is refused. */
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

    /** Guards I3: a router that starts while the platform is out serves with the configuration of a peer. */
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

    private CompletableFuture<HttpResponse<String>> book(int router, String key) {
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
