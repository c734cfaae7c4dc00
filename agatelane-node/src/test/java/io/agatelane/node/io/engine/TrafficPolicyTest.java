package io.agatelane.node.io.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.agatelane.core.hash.PromptDigester;
import io.agatelane.core.hash.PromptDigests;
import io.agatelane.core.model.ClientAccount;
import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.model.Model;
import io.agatelane.node.api.GossipHintExchange;
import io.agatelane.node.fakes.FakeConfigView;
import io.agatelane.node.io.http.Authenticator;
import io.agatelane.wire.operator.CandidateScore;
import io.agatelane.wire.operator.ExplainRequest;
import io.agatelane.wire.operator.ExplainResponse;
import io.agatelane.wire.peer.UpstreamDigest;
import java.net.http.HttpResponse;
import java.util.HexFormat;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class TrafficPolicyTest {
    private FakeConfigView config;
    private FakeEngine one;
    private FakeEngine two;
    private FakeGossipHintExchange hintExchange;
    private EngineTestRouter router;

    @BeforeMethod
    public void start() throws Exception {
        config = new FakeConfigView();
        one = new FakeEngine("e1");
        two = new FakeEngine("e2");
        hintExchange = new FakeGossipHintExchange();
        configure(0, 0);
        router = new EngineTestRouter("r1", config, hintExchange);
        router.awaitReady(2);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        router.close();
        one.close();
        two.close();
    }

    // Guards against requests that wait beyond their deadline, and refusals that come late, without the time after
    // which to retry, or after an engine received the request (I5).
    @Test
    public void refusesAtOnceWhenTheQueueIsTooLong() throws Exception {
        one.waiting = 500;
        two.waiting = 500;
        awaitWaiting(500);
        HttpResponse<String> refused = router.post(EngineTestRouter.body(true, "hello"));
        assertEquals(refused.statusCode(), 503, refused.body());
        assertTrue(refused.body().contains("\"type\":\"urn:agatelane:problem:overloaded\""), refused.body());
        assertTrue(refused.body().contains("\"executed\":\"no\""), refused.body());
        assertTrue(Integer.parseInt(refused.headers().firstValue("Retry-After").orElse("0")) > 1);
        assertTrue(one.bodies.isEmpty() && two.bodies.isEmpty());
    }

    // Guards against accounts that exceed their rate, and against charges for what was not generated.
    @Test
    public void enforcesTheAccountLimit() throws Exception {
        configure(1, 300);
        assertEquals(router.post(EngineTestRouter.body(true, "one")).statusCode(), 200);
        assertEquals(router.post(EngineTestRouter.body(true, "two")).statusCode(), 200);
        int status = 200;
        HttpResponse<String> last = null;
        for (int i = 0; i < 60 && status == 200; i++) {
            last = router.post(EngineTestRouter.body(true, "more " + i));
            status = last.statusCode();
        }
        assertNotNull(last);
        assertEquals(status, 429, last.body());
        assertTrue(last.headers().firstValue("Retry-After").isPresent());
    }

    // Guards against callers that choose their own cache namespace or priority, and against long requests that run
    // before short ones.
    @Test
    public void overridesSaltAndPriorityOfTheCaller() throws Exception {
        router.post(withField(
                EngineTestRouter.body(true, "short"), "\"cache_salt\":\"b/v1\",\"priority\":-5,\"max_tokens\":10"));
        router.post(withField(EngineTestRouter.body(true, "long"), "\"max_tokens\":50000"));
        JsonNode shortBody = body("short");
        JsonNode longBody = body("long");
        assertEquals(shortBody.path("cache_salt").asText(), "a/v1");
        assertTrue(shortBody.path("priority").asInt() >= 0);
        assertTrue(
                shortBody.path("priority").asInt() < longBody.path("priority").asInt());
    }

    // Guards against short requests that wait for a slow engine, a hedge that is not cancelled when it loses or wins,
    // and tokens of both attempts in one response.
    @Test
    public void hedgesShortStreams() throws Exception {
        one.holdAt = 0;
        for (int i = 0; i < 50 && router.counter("engine_hedges_total") == 0; i++) {
            HttpResponse<String> response = router.post(EngineTestRouter.body(true, "request " + i));
            assertEquals(EngineTestRouter.content(EngineTestRouter.events(response.body())), FakeEngine.text(0, 6));
        }
        assertEquals(router.counter("engine_hedges_won_total"), 1);
        EngineTestRouter.await("slower attempt cancelled", () -> one.cancelled.size() == 1);
        EngineTestRouter.await("slots released", () -> router.inFlight() == 0);
    }

    // Guards against an engine that gets work although another router reported it as draining (I7), and against a
    // draining mark that remains after the engine is ready again.
    @Test
    public void appliesDrainingMarksOfPeers() throws Exception {
        GossipHintExchange peer = hintExchange.attach();
        peer.publish(UpstreamDigest.newBuilder()
                .setUpstream("e1")
                .setIncarnation("1")
                .setDraining(true)
                .build());
        EngineTestRouter.await("draining", () -> state("e1").equals("draining"));
        for (int i = 0; i < 10; i++) {
            router.post(EngineTestRouter.body(true, "request " + i));
        }
        assertEquals(one.bodies.size(), 0);
        EngineTestRouter.await("ready again", () -> state("e1").equals("ready"));
    }

    // Guards against hints that ignore cache events, or outlive a gap or the loss of the cache.
    @Test
    public void followsCacheEvents() throws Exception {
        String document = "regulation ".repeat(2_000);
        PromptDigests prompt = new PromptDigester("a/v1")
                .add("user", document)
                .add("user", "x")
                .build();
        String digest = HexFormat.of().toHexDigits(prompt.digest(prompt.blocksAtLevel(0) - 1));
        double cold = prefillMillis("e1", document);
        one.cacheEvents.add(event(1, "stored", digest));
        EngineTestRouter.await("stored", () -> prefillMillis("e1", document) < cold / 2);
        one.cacheEvents.add(event(2, "evicted", digest));
        EngineTestRouter.await("evicted", () -> prefillMillis("e1", document) >= cold * 0.9);
        one.cacheEvents.add(event(3, "stored", digest));
        EngineTestRouter.await("stored again", () -> prefillMillis("e1", document) < cold / 2);
        one.cacheEvents.add(event(9, "stored", "00000000000000ff"));
        EngineTestRouter.await("dropped after a gap", () -> prefillMillis("e1", document) >= cold * 0.9);
    }

    private static String event(int sequence, String type, String digest) {
        return "{\"seq\":" + sequence + ",\"type\":\"" + type + "\",\"salt\":\"a/v1\",\"digests\":[\"" + digest
                + "\"]}";
    }

    private double prefillMillis(String upstream, String document) {
        ExplainResponse response = router.traffic.explain(ExplainRequest.newBuilder()
                .setClientAccount("a")
                .setBody(EngineTestRouter.body(true, document, "x"))
                .build());
        return response.getCandidatesList().stream()
                .filter(candidate -> candidate.getUpstream().equals(upstream))
                .mapToDouble(CandidateScore::getPrefillMillis)
                .findFirst()
                .orElseThrow();
    }

    private String state(String upstream) {
        return router.traffic.upstreams().stream()
                .filter(status -> status.getName().equals(upstream))
                .findFirst()
                .orElseThrow()
                .getState();
    }

    private void awaitWaiting(int waiting) throws InterruptedException {
        EngineTestRouter.await("load reports received", () -> router.traffic.upstreams().stream()
                .allMatch(upstream -> upstream.getWaiting() == waiting));
    }

    private JsonNode body(String message) {
        return List.of(one, two).stream()
                .flatMap(engine -> engine.bodies.stream())
                .filter(body -> body.at("/messages/0/content").asText().equals(message))
                .findFirst()
                .orElseThrow();
    }

    private static String withField(String body, String fields) {
        return body.substring(0, body.length() - 1) + "," + fields + "}";
    }

    private void configure(long tokensPerSecond, long burstTokens) {
        String key = Authenticator.sha256Hex(EngineTestRouter.KEY);
        config.set(ConfigSnapshot.builder()
                .revision(1)
                .add(new ClientAccount("a", List.of(key), tokensPerSecond, burstTokens, 1, ""))
                .add(new Model("m", "v1", 100_000, 100, ""))
                .add(one.upstream("m"))
                .add(two.upstream("m"))
                .build());
    }
}
