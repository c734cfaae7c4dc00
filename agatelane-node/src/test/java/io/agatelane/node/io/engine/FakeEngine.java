package io.agatelane.node.io.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.model.Upstream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/** An engine whose token number i is always "w{i} ", with faults that a test switches on. */
final class FakeEngine extends Handler.Abstract implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int NEVER = -1;

    final String name;
    final List<JsonNode> bodies = new CopyOnWriteArrayList<>();
    final List<String> cancelled = new CopyOnWriteArrayList<>();
    final List<String> resumed = new CopyOnWriteArrayList<>();
    final AtomicInteger openStreams = new AtomicInteger();
    final BlockingQueue<String> cacheEvents = new LinkedBlockingQueue<>();
    volatile String incarnation = "1";
    volatile String weights = "v1";
    volatile String role = "both";
    volatile int slots = 8;
    volatile int running;
    volatile int waiting;
    volatile long ageMillis;
    volatile double prefillTokensPerSecond = 100_000;
    volatile int tokens = 6;
    volatile int cachedTokens;
    /** The engine crashes before it sends this token of any stream. */
    volatile int crashAt = NEVER;
    /** The connection of a stream ends before this token, once; the stream can still be resumed. */
    volatile int dropAt = NEVER;
    /** The connection of a stream stalls before this token, once; the stream can still be resumed. */
    volatile int stallAt = NEVER;
    /** This token is skipped, once; {@link #repeatToken} is sent twice, once. */
    volatile int skipToken = NEVER;

    volatile int repeatToken = NEVER;
    /** Streams wait for this latch before the given token. */
    volatile int holdAt = NEVER;

    volatile CountDownLatch holdLatch = new CountDownLatch(1);
    volatile boolean repeatRefusalOnce;
    volatile boolean wrongRequestIdOnce;
    volatile boolean relativeNumbering;
    /** Tokens are parts of a tool call's arguments. */
    volatile boolean toolCalls;

    volatile int refuseStatus;
    volatile String refuseType = "";
    /** Runs before a crash. */
    volatile Runnable onCrash = () -> {};

    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server);
    private final Map<String, Integer> storedStreams = new ConcurrentHashMap<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private volatile boolean crashed;

    FakeEngine(String name) throws Exception {
        this.name = name;
        connector.setHost("127.0.0.1");
        connector.setPort(0);
        server.addConnector(connector);
        server.setHandler(this);
        server.setStopTimeout(0);
        server.start();
    }

    Upstream upstream(String model) {
        return new Upstream(
                name, "http://127.0.0.1:" + connector.getLocalPort(), "zone-a", List.of(model), "", slots, true, false);
    }

    /** Closes the port and every connection, as a killed process would. */
    void crash() {
        crashed = true;
        connector.close();
        connector.getConnectedEndPoints().forEach(endPoint -> endPoint.close());
    }

    static String text(int from, int to) {
        StringBuilder out = new StringBuilder();
        for (int i = from; i < to; i++) {
            out.append('w').append(i).append(' ');
        }
        return out.toString();
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        if (crashed) {
            // A connection that was just being accepted when the port was closed; a killed process serves none.
            request.getConnectionMetaData().getConnection().getEndPoint().close();
            callback.failed(new EofException("crashed"));
            return true;
        }
        String path = Request.getPathInContext(request);
        if (path.equals("/load")) {
            reply(response, callback, 200, load());
        } else if (path.equals("/v1/chat/completions")) {
            chat(request, response, callback);
        } else if (path.equals("/events")) {
            sendEvents(response, callback);
        } else if (path.startsWith("/v1/streams/")) {
            String id = path.substring("/v1/streams/".length());
            if (request.getMethod().equals("DELETE")) {
                storedStreams.remove(id);
                cancelled.add(id);
                reply(response, callback, 200, JsonNodeFactory.instance.objectNode());
            } else {
                resume(request, response, callback, id);
            }
        } else {
            return false;
        }
        return true;
    }

    private void sendEvents(Response response, Callback callback) throws Exception {
        response.getHeaders().put("Content-Type", "text/event-stream");
        response.getHeaders().put("X-Engine-Incarnation", incarnation);
        try {
            Content.Sink.write(response, false, ByteBuffer.allocate(0));
            while (stopped.getCount() > 0) {
                String event = cacheEvents.poll(50, TimeUnit.MILLISECONDS);
                if (event != null) {
                    Content.Sink.write(
                            response,
                            false,
                            ByteBuffer.wrap(("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8)));
                }
            }
            callback.succeeded();
        } catch (IOException e) {
            callback.failed(e);
        }
    }

    private ObjectNode load() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("incarnation", incarnation).put("model", "m").put("weights_version", weights);
        node.put("role", role).put("slots", slots).put("running", running).put("waiting", waiting);
        node.put("prefill_tokens_per_second", prefillTokensPerSecond).put("token_millis", 1);
        node.put("age_millis", ageMillis);
        return node;
    }

    private void chat(Request request, Response response, Callback callback) throws Exception {
        JsonNode body = MAPPER.readTree(Content.Source.asString(request, StandardCharsets.UTF_8));
        bodies.add(body);
        if (refuseStatus != 0) {
            error(response, callback, refuseStatus, refuseType);
        } else if (!incarnation.equals(request.getHeaders().get("X-Expect-Incarnation"))) {
            error(response, callback, 409, "incarnation_mismatch");
        } else if (!weights.equals(request.getHeaders().get("X-Expect-Weights"))) {
            error(response, callback, 409, "weights_mismatch");
        } else {
            int from = body.path("resume_tokens").asInt(0);
            if (!body.path("resume_text").asText("").equals(text(0, from))) {
                error(response, callback, 400, "wrong_resume_text");
                return;
            }
            String id = request.getHeaders().get("X-Request-Id");
            storedStreams.put(id, from);
            if (repeatRefusalOnce) {
                repeatRefusalOnce = false;
                response.getHeaders().put("X-Request-Id", "earlier");
                error(response, callback, 503, "overloaded");
                return;
            }
            stream(response, callback, id, from, from);
        }
    }

    private void resume(Request request, Response response, Callback callback, String id) throws Exception {
        Integer start = storedStreams.get(id);
        if (start == null) {
            error(response, callback, 404, "unknown_stream");
            return;
        }
        int from = Integer.parseInt(Request.extractQueryParameters(request).getValue("from"));
        resumed.add(id + "@" + from);
        stream(response, callback, id, start, Math.max(start, relativeNumbering ? start + from : from));
    }

    private void stream(Response response, Callback callback, String id, int start, int from) throws Exception {
        boolean wrongId = wrongRequestIdOnce;
        wrongRequestIdOnce = false;
        response.setStatus(200);
        response.getHeaders().put("Content-Type", "text/event-stream");
        response.getHeaders().put("X-Request-Id", wrongId ? "other" : id);
        response.getHeaders().put("X-Engine-Incarnation", incarnation);
        openStreams.incrementAndGet();
        try {
            Content.Sink.write(response, false, ByteBuffer.allocate(0));
            for (int i = from; i < tokens; i++) {
                if (!applyFaults(i)) {
                    callback.failed(new IOException("the connection was cut"));
                    return;
                }
                sendToken(response, start, i);
            }
            Content.Sink.write(response, true, "data: [DONE]\n\n", callback);
        } catch (IOException | UncheckedIOException e) {
            callback.failed(e);
        } finally {
            openStreams.decrementAndGet();
        }
    }

    // Returns false when the connection ends here.
    private boolean applyFaults(int token) throws Exception {
        if (token == holdAt) {
            holdLatch.await();
        }
        if (token == crashAt) {
            onCrash.run();
            crash();
            return false;
        }
        if (token == dropAt) {
            dropAt = NEVER;
            return false;
        }
        if (token == stallAt) {
            stallAt = NEVER;
            stopped.await();
        }
        return true;
    }

    private void sendToken(Response response, int start, int token) throws IOException {
        if (token == skipToken) {
            skipToken = NEVER;
            return;
        }
        int copies = token == repeatToken ? 2 : 1;
        repeatToken = copies == 2 ? NEVER : repeatToken;
        for (int copy = 0; copy < copies; copy++) {
            int id = relativeNumbering ? token - start : token;
            Content.Sink.write(
                    response,
                    false,
                    ByteBuffer.wrap(
                            ("id: " + id + "\ndata: " + chunk(token) + "\n\n").getBytes(StandardCharsets.UTF_8)));
        }
    }

    private ObjectNode chunk(int token) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("id", "engine")
                .put("object", "chat.completion.chunk")
                .put("created", 1)
                .put("model", "m");
        ObjectNode choice = node.putArray("choices").addObject().put("index", 0);
        ObjectNode delta = choice.putObject("delta");
        if (toolCalls) {
            ObjectNode call = delta.putArray("tool_calls").addObject().put("index", 0);
            call.putObject("function").put("arguments", "w" + token + " ");
            if (token == 0) {
                call.put("id", "call-1").withObject("/function").put("name", "look_up");
            }
        } else {
            delta.put("content", "w" + token + " ");
        }
        if (token == tokens - 1) {
            choice.put("finish_reason", "stop");
            ObjectNode usage = node.putObject("usage").put("prompt_tokens", 10).put("completion_tokens", 1);
            usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
        }
        return node;
    }

    private static void error(Response response, Callback callback, int status, String type) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.putObject("error").put("type", type);
        reply(response, callback, status, node);
    }

    private static void reply(Response response, Callback callback, int status, ObjectNode node) {
        response.setStatus(status);
        Content.Sink.write(response, true, node.toString(), callback);
    }

    @Override
    public void close() throws Exception {
        stopped.countDown();
        holdLatch.countDown();
        server.stop();
    }
}
