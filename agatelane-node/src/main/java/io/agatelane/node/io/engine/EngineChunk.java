package io.agatelane.node.io.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;

/** Reads the fields of an engine's chunks and error documents that the router needs. */
final class EngineChunk {
    private static final String MISMATCH_SUFFIX = "_mismatch";
    private static final String LOADING_TYPE = "loading_weights";
    private static final String OVERLOADED_TYPE = "overloaded";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EngineChunk() {}

    /** Whether a response belongs to the request that was sent. */
    enum HeaderCheck {
        EXPECTED,
        OTHER_REQUEST,
        OTHER_ENGINE
    }

    /**
     * Compares the headers of a response with the attempt.
     *
     * @param weights weights version that must have served the request; null when any may
     */
    static HeaderCheck checkHeaders(HttpFields headers, EngineAttempt attempt, String weights) {
        if (!attempt.engineRequestId().equals(headers.get("X-Request-Id"))) {
            return HeaderCheck.OTHER_REQUEST;
        }
        boolean sameEngine = matches(headers.get("X-Engine-Incarnation"), attempt.incarnation())
                && (weights == null || matches(headers.get("X-Weights-Version"), weights));
        return sameEngine ? HeaderCheck.EXPECTED : HeaderCheck.OTHER_ENGINE;
    }

    /** Whether the head of a response names another request than the one that it is read for. */
    static boolean belongsToOther(HttpFields headers, EngineAttempt attempt) {
        return !matches(headers.get("X-Request-Id"), attempt.engineRequestId());
    }

    /** Returns the chunk in an event; null when it is not a JSON object. */
    static ObjectNode parse(String data) {
        try {
            return MAPPER.readValue(data, ObjectNode.class);
        } catch (JsonProcessingException e) {
            return null;
        }
    }

    static String content(JsonNode chunk) {
        return delta(chunk).path("content").asText("");
    }

    /**
     * Whether the event is a token. A token may have no text, for example a part of a character, and is then recognized
     * by its offset; the last chunk has an offset but is not a token unless it has text.
     */
    static boolean isToken(SseParser.Event event, JsonNode chunk) {
        boolean numbered = EventId.parseOffset(event.id()) >= 0;
        return !content(chunk).isEmpty() || hasToolCall(chunk) || (numbered && !isFinish(chunk));
    }

    static boolean hasToolCall(JsonNode chunk) {
        return delta(chunk).hasNonNull("tool_calls");
    }

    /** Whether the chunk ends the response. */
    static boolean isFinish(JsonNode chunk) {
        return chunk.path("choices").path(0).hasNonNull("finish_reason");
    }

    /** The type of an error document; "unknown" when there is none. */
    static String errorType(JsonNode document) {
        return document.path("error").path("type").asText("unknown");
    }

    static String errorType(String body) {
        try {
            return errorType(MAPPER.readTree(body));
        } catch (JsonProcessingException e) {
            return "unknown";
        }
    }

    /** Whether a refusal shows that the engine executed no part of the request. */
    static boolean isRefusedBeforeExecution(int status, String type) {
        return isStaleViewRefusal(status, type)
                || (status == HttpStatus.SERVICE_UNAVAILABLE_503 && type.equals(OVERLOADED_TYPE));
    }

    /** Whether a refusal means that this router's view of the engine was out of date. */
    static boolean isStaleViewRefusal(int status, String type) {
        return (status == HttpStatus.CONFLICT_409 && type.endsWith(MISMATCH_SUFFIX))
                || (status == HttpStatus.SERVICE_UNAVAILABLE_503 && type.equals(LOADING_TYPE));
    }

    private static boolean matches(String received, String expected) {
        return received == null || received.equals(expected);
    }

    private static JsonNode delta(JsonNode chunk) {
        return chunk.path("choices").path(0).path("delta");
    }
}
