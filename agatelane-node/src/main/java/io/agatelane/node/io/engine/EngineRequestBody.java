package io.agatelane.node.io.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;

/** Builds the body of a chat request to an engine. */
final class EngineRequestBody {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int SHORT_PRIORITY = 100;
    private static final int LONG_PRIORITY = 1_000;
    private static final long AGE_STEP_MILLIS = 100;

    private EngineRequestBody() {}

    /**
     * Returns the engine priority of an attempt; lower values run sooner. Short requests go first, and a retried
     * request goes before younger ones of its class, but a long request never before a short one.
     */
    static int priority(boolean longRequest, long ageMillis) {
        int base = longRequest ? LONG_PRIORITY : SHORT_PRIORITY;
        int lowest = longRequest ? SHORT_PRIORITY + 1 : 0;
        return (int) Math.max(lowest, base - ageMillis / AGE_STEP_MILLIS);
    }

    /**
     * Returns the caller's body with the fields that the router controls. Engines always stream, so that a response
     * that the caller did not request as a stream can be continued as well. Values of these fields from the caller are
     * replaced: a caller must not choose its cache namespace or priority.
     */
    static byte[] write(ChatRequest request, StreamPosition position, int priority) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.setAll(request.body());
        body.put("stream", true);
        body.putObject("stream_options").put("include_usage", true);
        body.put("priority", priority);
        body.put("cache_salt", request.salt());
        body.remove("resume_text");
        body.remove("resume_tokens");
        if (!position.isAtStart()) {
            body.put("resume_text", position.text());
            body.put("resume_tokens", position.nextOffset());
        }
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new AgatelaneException(
                    FailureType.INTERNAL, "the request body for the engine could not be serialized", e);
        }
    }
}
