package io.agatelane.node.io.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.node.io.http.ProblemDocuments;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.TreeMap;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Collects the chunks of a stream and writes them as one JSON chat completion. */
final class JsonResponseSink implements CallerSink {
    private final Response response;
    private final Callback callback;
    private final String requestId;
    private final StringBuilder content = new StringBuilder();
    private final ObjectNode completion = JsonNodeFactory.instance.objectNode();
    private final TreeMap<Integer, ObjectNode> toolCalls = new TreeMap<>();
    private JsonNode finishReason;
    private boolean ended;

    JsonResponseSink(Response response, Callback callback, String requestId) {
        this.response = response;
        this.callback = callback;
        this.requestId = requestId;
    }

    @Override
    public synchronized void chunk(String eventId, ObjectNode chunk) {
        if (completion.isEmpty()) {
            completion.set("id", chunk.path("id"));
            completion.put("object", "chat.completion");
            completion.set("created", chunk.path("created"));
            completion.set("model", chunk.path("model"));
        }
        JsonNode choice = chunk.path("choices").path(0);
        content.append(choice.path("delta").path("content").asText(""));
        choice.path("delta").path("tool_calls").forEach(this::mergeToolCall);
        if (choice.hasNonNull("finish_reason")) {
            finishReason = choice.get("finish_reason");
        }
        if (chunk.hasNonNull("usage")) {
            completion.set("usage", chunk.get("usage"));
        }
    }

    @Override
    public void complete() {
        byte[] body;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            ObjectNode choice = completion.putArray("choices").addObject();
            choice.put("index", 0);
            ObjectNode message = choice.putObject("message").put("role", "assistant");
            message.put("content", content.toString());
            if (!toolCalls.isEmpty()) {
                message.putArray("tool_calls").addAll(toolCalls.values());
            }
            choice.set("finish_reason", finishReason);
            body = completion.toString().getBytes(StandardCharsets.UTF_8);
        }
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put("X-Request-Id", requestId);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    @Override
    public void fail(AgatelaneException failure) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        ProblemDocuments.write(response, callback, failure, requestId);
    }

    @Override
    public void keepAlive() {
        // Nothing can be written before the response is complete.
    }

    @Override
    public synchronized boolean isBlocked() {
        return ended;
    }

    @Override
    public void whenWritable(Runnable action) {
        action.run();
    }

    // The chunks of a tool call share an index; the name arrives whole, the arguments in pieces.
    private void mergeToolCall(JsonNode part) {
        ObjectNode call = toolCalls.computeIfAbsent(
                part.path("index").asInt(),
                unused -> JsonNodeFactory.instance.objectNode().put("id", "").put("type", "function"));
        if (part.hasNonNull("id")) {
            call.set("id", part.get("id"));
        }
        JsonNode function = part.path("function");
        ObjectNode merged = call.withObject("/function");
        if (function.hasNonNull("name")) {
            merged.set("name", function.get("name"));
        }
        String arguments =
                merged.path("arguments").asText("") + function.path("arguments").asText("");
        merged.put("arguments", arguments);
    }
}
