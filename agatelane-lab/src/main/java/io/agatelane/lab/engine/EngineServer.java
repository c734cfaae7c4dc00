package io.agatelane.lab.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.hash.PromptDigests;
import io.agatelane.lab.engine.EngineCore.Acceptance;
import io.agatelane.lab.engine.EngineRefusal.Reason;
import io.agatelane.lab.http.BadRequestException;
import io.agatelane.lab.http.Exchange;
import io.agatelane.lab.http.LabServer;
import io.agatelane.lab.http.StreamWriter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/** Serves the HTTP interface of an engine stand-in. */
@SuppressWarnings("FutureReturnValueIgnored") // Each result is written to its exchange.
public final class EngineServer implements AutoCloseable {
    private static final String STREAMS_PATH = "/v1/streams/";
    private static final int MEAN_REMAINING_OUTPUT_TOKENS = 16;
    private static final String REQUEST_ID_HEADER = "X-Request-Id";

    private final EngineFaults faults;
    private final EngineCore core;
    private final OrderExecutor orders;
    private final KvBlockStore blockStore;
    private final LabServer server;
    private final Set<CompletionWriter> openWriters = ConcurrentHashMap.newKeySet();
    private final AtomicReference<GenerationRequest> lastRequest = new AtomicReference<>();

    public EngineServer(InetSocketAddress address, EngineSettings settings, KvBlockStore blockStore) {
        this.blockStore = blockStore;
        faults = new EngineFaults(settings.loadLagMillis());
        core = new EngineCore(settings, faults, blockStore);
        orders = new OrderExecutor(core, settings, blockStore);
        server = new LabServer(address, this::serve);
        core.onCrash(() -> crash(faults.crashMillis()));
    }

    /** Starts to listen. */
    public EngineServer start() {
        server.start();
        return this;
    }

    public String url() {
        return server.url();
    }

    public void join() throws InterruptedException {
        server.join();
    }

    /** Applies fault controls in the form of {@code PUT /lab/faults}. */
    public void applyFaults(ObjectNode change) {
        faults.apply(change, EngineCore.nowMillis());
        if (change.path("silenceOpen").asBoolean()) {
            openWriters.forEach(CompletionWriter::discardFurtherOutput);
        }
        if (change.has("crash")) {
            long downMillis = change.path("crash").asLong(0);
            crash(downMillis > 0 ? downMillis : faults.crashMillis());
        }
    }

    /** Returns the counters in the form of {@code GET /lab/counters}. */
    public ObjectNode counters() {
        return core.counters().toJson();
    }

    /**
     * Estimates the time to first token in milliseconds from the engine's current state, which routers cannot see.
     *
     * @param settings the settings that the engine was created with
     */
    public CompletableFuture<Double> estimateFirstTokenMillis(
            EngineSettings settings, String salt, PromptDigests digests) {
        return core.estimate(salt, digests).thenApply(estimate -> {
            double tokens = estimate.tokensAhead() + digests.tokenCount() - estimate.cachedTokens();
            // A slot becomes free when a running request ends, which on average has half of its output tokens left.
            double slotMillis =
                    estimate.queued() * settings.tokenMillis() * MEAN_REMAINING_OUTPUT_TOKENS / settings.slots();
            return tokens * 1_000 / settings.prefillTokensPerSecond() * faults.straggleFactor() + slotMillis;
        });
    }

    public String incarnation() {
        return core.incarnation();
    }

    @Override
    public void close() {
        server.close();
        core.close();
    }

    private void crash(long downMillis) {
        core.crash();
        openWriters.clear();
        server.crash(downMillis, () -> {});
    }

    private void serve(Exchange exchange) {
        String path = exchange.path();
        if (path.startsWith("/lab/")) {
            serveLab(exchange);
        } else if (path.startsWith("/kept/")) {
            serveBlockStore(exchange);
        } else if (path.startsWith(STREAMS_PATH)) {
            serveStream(exchange, path.substring(STREAMS_PATH.length()));
        } else {
            serveEngine(exchange);
        }
    }

    private void serveEngine(Exchange exchange) {
        exchange.withHeader("X-Engine-Incarnation", core.incarnation())
                .withHeader("X-Weights-Version", core.state().weightsVersion());
        switch (exchange.method() + " " + exchange.path()) {
            case "POST /v1/chat/completions" -> serveCompletion(exchange);
            case "GET /load" -> core.load().thenAccept(report -> exchange.respond(200, report));
            case "GET /events" -> streamEvents(exchange);
            case "POST /kv/export" -> serveBlockCopy(exchange, core::export, "exported");
            case "POST /kv/import" -> serveBlockCopy(exchange, core::importBlocks, "imported");
            case "GET /orders" -> core.execute(
                    () -> exchange.respond(200, core.state().toJson()));
            case "POST /orders" -> serveOrder(exchange);
            default -> exchange.respondError(404, "not_found", "no such path: " + exchange.path());
        }
    }

    private void serveCompletion(Exchange exchange) {
        String requestId = requestIdOf(exchange);
        GenerationRequest request = GenerationRequest.parse(requestId, exchange.json());
        GenerationRequest previous = lastRequest.getAndSet(request);
        String responseId = requestId;
        if (previous != null && faults.takeMisdeliveredResponse()) {
            // The caller gets the response to the previous request, with the id of that request.
            core.counters().add("crossedAnswers", 1);
            responseId = previous.requestId();
            request = previous.withIdentity(requestId, request.streamed());
        }
        long responseDelayMillis = faults.takeResponseDelayMillis();
        if (responseDelayMillis > 0) {
            core.counters().add("lateAnswers", 1);
            GenerationRequest delayedRequest = request;
            String delayedResponseId = responseId;
            server.schedule(() -> submit(exchange, delayedRequest, delayedResponseId), responseDelayMillis);
        } else {
            submit(exchange, request, responseId);
        }
    }

    private void submit(Exchange exchange, GenerationRequest request, String responseId) {
        exchange.withHeader(REQUEST_ID_HEADER, responseId);
        CompletionWriter writer =
                new CompletionWriter(exchange, responseId, core.state().model(), request.streamed());
        String expectedIncarnation = exchange.header("X-Expect-Incarnation");
        String expectedWeights = exchange.header("X-Expect-Weights");
        core.submit(
                        request,
                        expectedIncarnation,
                        expectedWeights,
                        accepted -> openWriter(exchange, writer, request, accepted))
                .whenComplete((accepted, failure) -> sendRefusal(exchange, failure));
    }

    private TokenReader openWriter(
            Exchange exchange, CompletionWriter writer, GenerationRequest request, Acceptance accepted) {
        exchange.withHeader("X-Engine-Incarnation", accepted.incarnation())
                .withHeader("X-Weights-Version", accepted.weightsVersion());
        openWriters.add(writer);
        TokenReader reader = new UnregisteringReader(writer, () -> openWriters.remove(writer));
        writer.open(() -> {
            openWriters.remove(writer);
            core.detach(request.requestId(), reader);
        });
        return reader;
    }

    private static void sendRefusal(Exchange exchange, Throwable failure) {
        if (failure instanceof EngineRefusal refusal) {
            Reason reason = refusal.reason();
            exchange.respondError(reason.status(), reason.code(), "the engine refused the request before it ran");
        }
    }

    private void serveStream(Exchange exchange, String requestId) {
        if (exchange.method().equals("DELETE")) {
            core.cancel(requestId).thenAccept(found -> exchange.respond(found ? 200 : 404, emptyNode()));
            return;
        }
        int fromOffset = Integer.parseInt(exchange.query("from", "0"));
        exchange.withHeader(REQUEST_ID_HEADER, requestId).withHeader("X-Engine-Incarnation", core.incarnation());
        CompletionWriter writer =
                new CompletionWriter(exchange, requestId, core.state().model(), true);
        core.resume(requestId, fromOffset, () -> {
                    openWriters.add(writer);
                    TokenReader reader = new UnregisteringReader(writer, () -> openWriters.remove(writer));
                    writer.open(() -> core.detach(requestId, reader));
                    return reader;
                })
                .thenAccept(found -> {
                    if (!found) {
                        exchange.respondError(
                                404,
                                "stream_not_found",
                                "the engine holds no output of this stream from the requested offset on");
                    }
                });
    }

    private void streamEvents(Exchange exchange) {
        long fromSequence = Long.parseLong(exchange.query("from", "0"));
        StreamWriter writer = exchange.stream(200, "text/event-stream");
        writer.sendHeaders();
        Consumer<String> subscriber = writer::send;
        writer.onFailure(() -> core.events().unsubscribe(subscriber));
        core.events().subscribe(fromSequence, subscriber);
    }

    private void serveBlockCopy(Exchange exchange, BlockCopy copy, String resultName) {
        ObjectNode body = exchange.json();
        String weightsVersion = body.path("weights_version").asText(core.state().weightsVersion());
        if (!weightsVersion.equals(core.state().weightsVersion())) {
            exchange.respondError(
                    409,
                    Reason.WEIGHTS_MISMATCH.code(),
                    "the engine has loaded another weights version than the request names");
            return;
        }
        List<Long> digests = new ArrayList<>();
        for (JsonNode digest : body.path("digests")) {
            try {
                digests.add(Long.parseUnsignedLong(digest.asText(), 16));
            } catch (NumberFormatException e) {
                throw new BadRequestException("not a hexadecimal digest: " + digest.asText());
            }
        }
        copy.copy(body.path("salt").asText(""), digests).whenComplete((count, failure) -> {
            if (failure == null) {
                exchange.respond(200, emptyNode().put(resultName, count));
            } else {
                exchange.respondError(503, "store_unavailable", String.valueOf(failure.getMessage()));
            }
        });
    }

    private void serveOrder(Exchange exchange) {
        orders.accept(exchange.json()).thenAccept(inForce -> {
            if (inForce) {
                exchange.respond(200, core.state().toJson());
            } else {
                exchange.respondError(
                        409, "stale_fencing_number", "an order with a higher fencing number was accepted before");
            }
        });
    }

    private void serveLab(Exchange exchange) {
        switch (exchange.path()) {
            case "/lab/faults" -> {
                ObjectNode change = exchange.method().equals("PUT") ? exchange.json() : emptyNode();
                exchange.respond(200, faultsAfter(change));
                if (!change.isEmpty()) {
                    applyFaults(change);
                }
            }
            case "/lab/counters" -> core.load().thenAccept(report -> {
                ObjectNode node = counters();
                node.put("running", report.path("running").asInt());
                exchange.respond(200, node.put("incarnation", core.incarnation()));
            });
            default -> exchange.respondError(404, "not_found", "no such path: " + exchange.path());
        }
    }

    // Computed in advance: the response is sent before the change takes effect, because a crash drops its connection.
    private ObjectNode faultsAfter(ObjectNode change) {
        return faults.toJson(EngineCore.nowMillis()).setAll(change);
    }

    private void serveBlockStore(Exchange exchange) {
        ObjectNode body = exchange.json();
        switch (exchange.path()) {
            case "/kept/save" -> blockStore
                    .save(RemoteKvBlockStore.keysOf(body))
                    .thenAccept(done -> exchange.respond(200, emptyNode()));
            case "/kept/find" -> blockStore
                    .find(RemoteKvBlockStore.keysOf(body))
                    .thenAccept(found -> exchange.respond(200, RemoteKvBlockStore.body(found)));
            case "/kept/loads" -> blockStore
                    .addRunningLoads(body.path("delta").asInt())
                    .thenAccept(loads -> exchange.respond(200, emptyNode().put("loads", loads)));
            default -> exchange.respondError(404, "not_found", "no such path: " + exchange.path());
        }
    }

    private static String requestIdOf(Exchange exchange) {
        String header = exchange.header(REQUEST_ID_HEADER);
        return header.isEmpty() ? "engine-" + Long.toHexString(System.nanoTime()) : header;
    }

    private static ObjectNode emptyNode() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Copies blocks between the prefix cache and the block store. */
    private interface BlockCopy {
        CompletableFuture<Integer> copy(String salt, List<Long> digests);
    }

    /** Passes on all output and unregisters the writer when it ends. */
    private record UnregisteringReader(TokenReader target, Runnable unregister) implements TokenReader {
        @Override
        public void onToken(int offset, String text) {
            target.onToken(offset, text);
        }

        @Override
        public void onEnd(GenerationResult result) {
            unregister.run();
            target.onEnd(result);
        }

        @Override
        public void onAbort() {
            unregister.run();
            target.onAbort();
        }
    }
}
