package io.agatelane.lab.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.hash.PromptDigester;
import io.agatelane.core.hash.PromptDigests;
import io.agatelane.lab.http.LabClient;
import io.agatelane.lab.http.LabClient.LabResponse;
import io.agatelane.lab.http.LabServer;
import io.agatelane.lab.load.ChatReader;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.eclipse.jetty.http.HttpMethod;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class EngineServerTest {
    private static final String LONG_TEXT = TokenSource.of("text", "", "long").text(2_048);

    private static final long TIMEOUT_MILLIS = 10_000;

    private EngineServer engine;
    private LabClient client;

    @BeforeMethod
    public void start() {
        engine = newEngine(new LocalKvBlockStore(100), true);
        client = new LabClient();
    }

    @AfterMethod
    public void stop() {
        client.close();
        engine.close();
    }

    /** Guards against different output after a stream has moved to another engine. */
    @Test
    public void continuedStreamEqualsTheUninterruptedOne() {
        ChatReader whole = chat("whole", "s", 12, "", 0);
        String text = whole.text();
        assertEquals(whole.tokens(), 12);
        assertEquals(
                text, TokenSource.of("m", "v1", "user\n" + LONG_TEXT + "\n").text(12));
        try (EngineServer other = newEngine(new LocalKvBlockStore(100), true)) {
            String start = text.substring(0, 5 * 4);
            ChatReader rest = read(post(other, "rest", body("s", 12, start, 5)));
            assertEquals(start + rest.text(), text);
            assertTrue(rest.isDone());
            ChatReader wrong = read(post(other, "wrong", body("s", 12, "another text", 5)));
            assertNotEquals(start + wrong.text(), text);
            assertEquals(other.counters().path("resumeTextMismatches").asInt(), 1);
        }
    }

    /** Guards against cached blocks that are reused under another salt. */
    @Test
    public void cachedTokensCountOnlyTheSameSalt() {
        assertEquals(chat("r1", "a/v1", 1, "", 0).cachedTokens(), 0);
        assertEquals(chat("r2", "a/v1", 1, "", 0).cachedTokens(), 2_048);
        assertEquals(chat("r3", "b/v1", 1, "", 0).cachedTokens(), 0);
    }

    /** Guards against a retained stream that is replayed from the wrong offset. */
    @Test
    public void retainedStreamIsResumedFromAnOffset() {
        String text = chat("held", "s", 6, "", 0).text();
        LabResponse rest = get(engine.url() + "/v1/streams/held?from=4");
        assertTrue(rest.text().startsWith("id: 4\n"));
        assertTrue(rest.text().contains(text.substring(4 * 4, 5 * 4)));
        assertTrue(rest.text().contains("id: 5\n"));
        assertTrue(rest.text().endsWith("data: [DONE]\n\n"));
        assertEquals(get(engine.url() + "/v1/streams/unknown?from=0").status(), 404);
    }

    /** Guards against an engine that restarts after a crash with its old cache or its old incarnation. */
    @Test
    public void crashEmptiesTheEngineAndChangesTheIncarnation() throws InterruptedException {
        // Closed by the call, because a kept connection to a crashed engine may not be known as closed yet.
        read(call("before", body("s", 1, "", 0), Map.of("Connection", "close")));
        String incarnation = engine.incarnation();
        engine.applyFaults(node().put("crash", 1));
        awaitIncarnationOtherThan(incarnation);
        assertEquals(chat("after", "s", 1, "", 0).cachedTokens(), 0);
        assertEquals(get(engine.url() + "/v1/streams/before?from=0").status(), 404);
        LabResponse refused = call("expects", body("s", 1, "", 0), Map.of("X-Expect-Incarnation", incarnation));
        assertEquals(refused.status(), 409);
        assertEquals(refused.json().path("error").path("type").asText(), "incarnation_mismatch");
    }

    /** Guards against a poison request that does not crash the engine, or a crash by a prompt without the marker. */
    @Test
    public void markedPromptCrashesTheEngine() throws InterruptedException {
        engine.applyFaults(node().put("crashOn", "POISON").put("crashMillis", 1));
        String incarnation = engine.incarnation();
        ObjectNode poison = body("s", 1, "", 0);
        ((ObjectNode) poison.path("messages").get(0)).put("content", "some POISON here");
        assertThrows(CompletionException.class, () -> read(call("poison", poison, Map.of()))
                .text());
        awaitIncarnationOtherThan(incarnation);
        assertTrue(chat("plain", "s", 1, "", 0).isDone());
        assertEquals(engine.counters().path("poisonCrashes").asInt(), 1);
    }

    /** Guards against an older order that overrides a newer one on an engine that checks fencing numbers. */
    @Test
    public void olderOrderIsRefusedOnlyWhereFencingIsChecked() {
        assertEquals(order(engine, 5, "v2").status(), 200);
        assertEquals(order(engine, 4, "v3").status(), 409);
        assertEquals(
                client.get(engine.url() + "/orders")
                        .join()
                        .path("weights_version")
                        .asText(),
                "v2");
        assertEquals(
                call("old", body("s", 1, "", 0), Map.of("X-Expect-Weights", "v1"))
                        .status(),
                409);
        try (EngineServer unchecked = newEngine(new LocalKvBlockStore(100), false)) {
            assertEquals(order(unchecked, 5, "v2").status(), 200);
            assertEquals(order(unchecked, 4, "v3").status(), 200);
        }
    }

    /** Guards against saved blocks that cannot be imported by another engine with the same weights. */
    @Test
    public void exportedBlocksAreImportedByAnotherEngine() {
        KvBlockStore store = new LocalKvBlockStore(100);
        try (EngineServer first = newEngine(store, true);
                EngineServer second = newEngine(store, true)) {
            read(post(first, "r1", body("s", 1, "", 0)));
            ObjectNode blocks = node().put("salt", "s").put("weights_version", "v1");
            blocks.putArray("digests").add(digest(0)).add(digest(1));
            JsonNode exported = client.post(first.url() + "/kv/export", blocks).join();
            assertEquals(exported.path("exported").asInt(), 2);
            JsonNode imported = client.post(second.url() + "/kv/import", blocks).join();
            assertEquals(imported.path("imported").asInt(), 2);
            assertEquals(read(post(second, "r2", body("s", 1, "", 0))).cachedTokens(), 512);
        }
    }

    /** Guards against a dropped event that leaves no gap in the sequence numbers. */
    @Test
    public void droppedCacheEventLeavesAGap() {
        CacheEvents events = new CacheEvents();
        StringBuilder seen = new StringBuilder();
        String first = events.prepare("stored", "s", List.of(1L));
        events.prepare("stored", "s", List.of(2L));
        String third = events.prepare("evicted", "s", List.of(1L));
        events.publish(first);
        events.publish(third);
        events.subscribe(2, seen::append);
        assertTrue(seen.toString().startsWith("id: 3\n"), seen.toString());
        assertTrue(seen.toString().contains("\"0000000000000001\""));
    }

    /** Guards against a misdelivered response whose id does not show that it belongs to another request. */
    @Test
    public void misdeliveredResponseCarriesTheIdOfTheOtherRequest() {
        chat("first", "s", 2, "", 0);
        engine.applyFaults(node().put("crossAnswers", 1));
        ObjectNode body = body("s", 2, "", 0);
        body.put("stream", false);
        assertEquals(call("second", body, Map.of()).json().path("id").asText(), "chatcmpl-first");
    }

    private static EngineServer newEngine(KvBlockStore store, boolean checksFencing) {
        EngineSettings settings =
                EngineSettings.of("m", "v1").withRates(4_000_000, 0.2).withControl(0, 1, checksFencing);
        return new EngineServer(LabServer.parseAddress("127.0.0.1:0"), settings, store).start();
    }

    private void awaitIncarnationOtherThan(String incarnation) throws InterruptedException {
        while (true) {
            try {
                JsonNode load = client.get(engine.url() + "/load").join();
                if (!load.path("incarnation").asText().equals(incarnation)) {
                    return;
                }
            } catch (CompletionException e) {
                // The engine refuses connections until it listens again.
                Thread.sleep(20);
            }
        }
    }

    private ChatReader chat(String requestId, String salt, int maxTokens, String resumeText, int resumeTokens) {
        return read(call(requestId, body(salt, maxTokens, resumeText, resumeTokens), Map.of()));
    }

    private LabResponse call(String requestId, ObjectNode body, Map<String, String> headers) {
        Map<String, String> all = new HashMap<>(headers);
        all.put("X-Request-Id", requestId);
        return client.call(HttpMethod.POST, engine.url() + "/v1/chat/completions", body, all, TIMEOUT_MILLIS)
                .join();
    }

    private LabResponse post(EngineServer server, String requestId, ObjectNode body) {
        String url = server.url() + "/v1/chat/completions";
        return client.call(HttpMethod.POST, url, body, Map.of("X-Request-Id", requestId), TIMEOUT_MILLIS)
                .join();
    }

    private LabResponse get(String url) {
        return client.call(HttpMethod.GET, url, null, Map.of(), TIMEOUT_MILLIS).join();
    }

    private LabResponse order(EngineServer server, int fencingNumber, String weightsVersion) {
        ObjectNode order = node().put("fencing_number", fencingNumber).put("weights_version", weightsVersion);
        return client.call(HttpMethod.POST, server.url() + "/orders", order, Map.of(), TIMEOUT_MILLIS)
                .join();
    }

    private static ChatReader read(LabResponse response) {
        assertEquals(response.status(), 200, response.text());
        ChatReader reader = new ChatReader(() -> {});
        reader.feed(ByteBuffer.wrap(response.text().getBytes(StandardCharsets.UTF_8)));
        return reader;
    }

    private static String digest(int block) {
        PromptDigests digests = new PromptDigester("s").add("user", LONG_TEXT).build();
        return HexFormat.of().toHexDigits(digests.digest(block));
    }

    private static ObjectNode body(String salt, int maxTokens, String resumeText, int resumeTokens) {
        ObjectNode body = node().put("model", "m").put("stream", true).put("max_tokens", maxTokens);
        body.put("cache_salt", salt).put("resume_text", resumeText).put("resume_tokens", resumeTokens);
        body.putArray("messages").addObject().put("role", "user").put("content", LONG_TEXT);
        return body;
    }

    private static ObjectNode node() {
        return JsonNodeFactory.instance.objectNode();
    }
}
