package io.agatelane.node.io.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.model.ClientAccount;
import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.model.Model;
import io.agatelane.node.fakes.FakeConfigView;
import io.agatelane.node.io.http.Authenticator;
import java.io.BufferedReader;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class StreamFailureTest {
    private static final String FULL_TEXT = FakeEngine.text(0, 6);

    private final List<FakeEngine> engines = new ArrayList<>();
    private final FakeConfigView config = new FakeConfigView();
    private FakeGossipHintExchange hintExchange;
    private EngineTestRouter router;
    private EngineTestRouter otherRouter;

    @BeforeMethod
    public void start() throws Exception {
        engines.clear();
        for (int i = 1; i <= 3; i++) {
            engines.add(new FakeEngine("e" + i));
        }
        configure(false);
        hintExchange = new FakeGossipHintExchange();
        router = new EngineTestRouter("r1", config, hintExchange);
        otherRouter = new EngineTestRouter("r2", config, hintExchange);
        router.awaitReady(3);
        otherRouter.awaitReady(3);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        router.close();
        otherRouter.close();
        for (FakeEngine engine : engines) {
            engine.close();
        }
    }

    @DataProvider
    public Object[][] offsets() {
        return new Object[][] {{1, false}, {2, true}, {3, false}, {4, true}, {5, false}};
    }

    // Guards against streams that end, repeat or lose tokens when the engine crashes at any offset (I2).
    @Test(dataProvider = "offsets")
    public void continuesOnAnotherEngineAfterACrash(int offset, boolean relativeNumbering) throws Exception {
        engines.forEach(engine -> engine.relativeNumbering = relativeNumbering);
        crashOnlyTheFirstEngineUsed(offset);
        List<EngineTestRouter.Event> events = EngineTestRouter.events(
                router.post(EngineTestRouter.body(true, "hello")).body());
        assertEquals(EngineTestRouter.content(events), FULL_TEXT);
        assertEquals(events.get(events.size() - 1).data(), "[DONE]");
        assertEquals(router.counter("stream_continuations_total"), 1);
        EngineTestRouter.await("slots released", () -> router.inFlight() == 0);
    }

    // Guards against non-streaming callers that get a partial text or an error after a crash (I2, I4).
    @Test
    public void continuesNonStreamingResponsesAfterACrash() throws Exception {
        crashOnlyTheFirstEngineUsed(3);
        HttpResponse<String> response = router.post(EngineTestRouter.body(false, "hello"));
        assertEquals(response.statusCode(), 200);
        EngineTestRouter.Event document = new EngineTestRouter.Event("", "", response.body());
        assertEquals(document.json().at("/choices/0/message/content").asText(), FULL_TEXT);
        assertEquals(document.json().at("/usage/completion_tokens").asInt(), 6);
    }

    // Guards against reporting "not executed" for a request that an engine was running, and against automatic retries
    // on another engine of a request that may have crashed its engine (I5).
    @Test
    public void doesNotRepeatARequestThatMayHaveCrashedItsEngine() throws Exception {
        engines.forEach(engine -> engine.crashAt = 0);
        HttpResponse<String> response = router.post(EngineTestRouter.body(true, "hello"));
        assertEquals(response.statusCode(), 502);
        assertTrue(response.body().contains("\"executed\":\"unknown\""), response.body());
        assertEquals(attempts(), 1);
        EngineTestRouter.await("slots released", () -> router.inFlight() == 0);
    }

    // Guards against a request that crashes one engine after another: at most two are lost, even when its caller
    // retries at another router, and other requests are still served.
    @Test
    public void quarantinesARequestThatCrashesEngines() throws Exception {
        engines.forEach(engine -> engine.crashAt = 0);
        String poison = EngineTestRouter.body(true, "poison");
        assertEquals(router.post(poison).statusCode(), 502);
        assertEquals(otherRouter.post(poison).statusCode(), 502);
        EngineTestRouter.await("crashes reported", () -> hintExchange.deliveredQuarantines() >= 2);
        assertEquals(router.post(poison).statusCode(), 422);
        HttpResponse<String> refused = otherRouter.post(poison);
        assertEquals(refused.statusCode(), 422);
        assertTrue(refused.body().contains("\"executed\":\"no\""), refused.body());
        assertEquals(attempts(), 2);
        engines.forEach(engine -> engine.crashAt = -1);
        assertEquals(router.post(EngineTestRouter.body(true, "harmless")).statusCode(), 200);
    }

    // Guards against a broken connection that counts as a crash: the engine still has the stream, which is resumed.
    @Test
    public void resumesTheStreamAfterALostConnection() throws Exception {
        engines.forEach(engine -> engine.dropAt = 2);
        assertFullStream(router.post(EngineTestRouter.body(true, "hello")));
        assertEquals(attempts(), 1);
        assertEquals(router.counter("engine_crashes_seen_total"), 0);
    }

    // Guards against a stream that hangs forever on a stalled connection.
    @Test
    public void replacesAStalledConnection() throws Exception {
        engines.forEach(engine -> engine.stallAt = 3);
        assertFullStream(router.post(EngineTestRouter.body(true, "hello")));
        assertEquals(attempts(), 1);
    }

    // Guards against tokens that are lost or sent twice to the caller (I2).
    @Test
    public void repairsGapsAndRepeats() throws Exception {
        engines.forEach(engine -> {
            engine.repeatToken = 1;
            engine.skipToken = 3;
        });
        assertFullStream(router.post(EngineTestRouter.body(true, "hello")));
        assertEquals(router.counter("stream_token_gaps_total"), 1);
        assertEquals(router.counter("stream_repeated_tokens_total"), 1);
    }

    // Guards against a misdelivered response that belongs to another request (I4).
    @Test
    public void dropsAResponseToAnotherRequest() throws Exception {
        engines.forEach(engine -> engine.wrongRequestIdOnce = true);
        assertFullStream(router.post(EngineTestRouter.body(true, "hello")));
        assertEquals(router.counter("engine_mismatched_responses_total"), 1);
    }

    // Guards against a refusal of an earlier request on a kept connection that is taken for the answer to a request
    // that the engine runs: another engine runs it as well.
    @Test
    public void refusalOfAnotherRequestIsNoReasonToReroute() throws Exception {
        engines.forEach(engine -> engine.repeatRefusalOnce = true);
        assertFullStream(router.post(EngineTestRouter.body(true, "hello")));
        assertEquals(router.counter("engine_mismatched_responses_total"), 1);
        assertEquals(attempts(), 1);
    }

    // Guards against work that relies on an engine's previous incarnation or on older weights (I1): the engine refuses
    // before it runs anything, and the router uses another engine.
    @Test
    public void reroutesWhenAnEngineWasReplaced() throws Exception {
        FakeEngine replaced = engines.get(0);
        engines.get(1).waiting = 500;
        engines.get(2).waiting = 500;
        EngineTestRouter.await(
                "load reports received",
                () -> router.traffic.upstreams().stream()
                                .filter(upstream -> upstream.getWaiting() == 500)
                                .count()
                        == 2);
        replaced.refuseStatus = 409;
        replaced.refuseType = "incarnation_mismatch";
        assertFullStream(router.post(EngineTestRouter.body(true, "hello")));
        assertEquals(replaced.bodies.size(), 1);
    }

    // Guards against callers that lose their connection and get a stream with missing or repeated tokens from the next
    // router (I2), and against the cancellation by the first router cutting the resumed stream.
    @Test
    public void resumesAtAnotherRouter() throws Exception {
        engines.forEach(engine -> engine.holdAt = 2);
        String body = EngineTestRouter.body(true, "hello");
        var first = router.openStream(body);
        BufferedReader reader = EngineTestRouter.reader(first);
        EngineTestRouter.readEvent(reader);
        EngineTestRouter.Event second = EngineTestRouter.readEvent(reader);
        first.body().close();
        engines.forEach(engine -> engine.holdLatch.countDown());
        HttpResponse<String> rest = otherRouter.post(body, "Last-Event-ID", second.id());
        List<EngineTestRouter.Event> events = EngineTestRouter.events(rest.body());
        assertEquals(EngineTestRouter.content(events), FakeEngine.text(2, 6));
        assertEquals(events.get(events.size() - 1).data(), "[DONE]");
    }

    // Guards against a resumed stream that cannot be continued when the engine then crashes (I2). KNOWN-RED 33.
    @Test(groups = "known-red")
    public void continuesAResumedStreamAfterACrash() throws Exception {
        engines.forEach(engine -> engine.holdAt = 2);
        String body = EngineTestRouter.body(true, "hello");
        var first = router.openStream(body);
        BufferedReader reader = EngineTestRouter.reader(first);
        EngineTestRouter.readEvent(reader);
        EngineTestRouter.Event second = EngineTestRouter.readEvent(reader);
        String holder = second.id().substring(0, second.id().indexOf('~'));
        FakeEngine engine = engines.stream()
                .filter(candidate -> candidate.name.equals(holder))
                .findFirst()
                .orElseThrow();
        CompletableFuture<HttpResponse<String>> resumed = CompletableFuture.supplyAsync(
                () -> unchecked(() -> otherRouter.post(body, "Last-Event-ID", second.id())));
        EngineTestRouter.await("resumed", () -> !engine.resumed.isEmpty());
        engine.crashAt = 4;
        engines.forEach(any -> any.holdLatch.countDown());
        HttpResponse<String> rest = resumed.get();
        assertEquals(EngineTestRouter.content(EngineTestRouter.events(rest.body())), FakeEngine.text(2, 6));
    }

    // Guards against one account reading another account's stream, or another request's, by its event id (I1, I4).
    @Test
    public void refusesAnEventIdOfAnotherRequest() throws Exception {
        engines.forEach(engine -> engine.holdAt = 1);
        BufferedReader reader = EngineTestRouter.reader(router.openStream(EngineTestRouter.body(true, "hello")));
        EngineTestRouter.Event event = EngineTestRouter.readEvent(reader);
        assertNotNull(event);
        HttpResponse<String> other = router.post(EngineTestRouter.body(true, "other"), "Last-Event-ID", event.id());
        assertEquals(other.statusCode(), 409, other.body());
        assertTrue(engines.stream().allMatch(engine -> engine.resumed.isEmpty()));
        HttpResponse<String> bad = router.post(EngineTestRouter.body(true, "hello"), "Last-Event-ID", "nonsense");
        assertEquals(bad.statusCode(), 400);
    }

    // Guards against a draining engine that still gets work (I7), whether it is draining by its own report, by the
    // configuration or by another router's digest.
    @Test
    public void sendsNothingToDrainingEngines() throws Exception {
        engines.get(0).role = "draining";
        configure(true);
        EngineTestRouter.await(
                "draining",
                () -> router.traffic.upstreams().stream()
                                .filter(upstream -> upstream.getState().equals("draining"))
                                .count()
                        == 2);
        for (int i = 0; i < 20; i++) {
            assertFullStream(router.post(EngineTestRouter.body(true, "request " + i)));
        }
        assertEquals(engines.get(0).bodies.size() + engines.get(1).bodies.size(), 0);
        engines.get(2).role = "draining";
        EngineTestRouter.await(
                "no engine",
                () -> unchecked(() -> router.post(EngineTestRouter.body(true, "x")))
                                .statusCode()
                        == 503);
    }

    private void configure(boolean secondDraining) {
        ConfigSnapshot.Builder builder = ConfigSnapshot.builder()
                .revision(1)
                .add(new ClientAccount("a", List.of(Authenticator.sha256Hex(EngineTestRouter.KEY)), 0, 0, 1, ""))
                .add(new Model("m", "v1", 100_000, 100, ""));
        for (FakeEngine engine : engines) {
            var upstream = engine.upstream("m");
            builder.add(new io.agatelane.core.model.Upstream(
                    upstream.name(),
                    upstream.baseUrl(),
                    upstream.availabilityZone(),
                    upstream.models(),
                    "",
                    upstream.slots(),
                    true,
                    secondDraining && engine.name.equals("e2")));
        }
        config.set(builder.build());
    }

    // The first engine that runs anything crashes; the others are healthy from then on.
    private void crashOnlyTheFirstEngineUsed(int offset) {
        engines.forEach(engine -> engine.onCrash = () -> engines.forEach(other -> other.crashAt = -1));
        engines.forEach(engine -> engine.crashAt = offset);
    }

    private int attempts() {
        return engines.stream().mapToInt(engine -> engine.bodies.size()).sum();
    }

    private static void assertFullStream(HttpResponse<String> response) {
        assertEquals(response.statusCode(), 200, response.body());
        List<EngineTestRouter.Event> events = EngineTestRouter.events(response.body());
        assertEquals(EngineTestRouter.content(events), FULL_TEXT);
        assertEquals(events.get(events.size() - 1).data(), "[DONE]");
    }

    private static <T> T unchecked(java.util.concurrent.Callable<T> call) {
        try {
            return call.call();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
