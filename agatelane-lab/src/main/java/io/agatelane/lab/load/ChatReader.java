package io.agatelane.lab.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.agatelane.lab.http.Exchange;
import java.nio.ByteBuffer;

/** Collects the response to one streamed chat request and checks that its tokens arrive in order. */
public final class ChatReader {
    private final StringBuilder text = new StringBuilder();
    private final EventStreamParser parser = new EventStreamParser(this::handleEvent);
    private final Runnable onFirstToken;
    private int tokens;
    private boolean done;
    private String problem = "";
    private String lastEventId = "";
    private long promptTokens;
    private long cachedTokens;

    /** Creates a reader that runs an action when the first token arrives. */
    public ChatReader(Runnable onFirstToken) {
        this.onFirstToken = onFirstToken;
    }

    public void feed(ByteBuffer bytes) {
        parser.feed(bytes);
    }

    public String text() {
        return text.toString();
    }

    public int tokens() {
        return tokens;
    }

    /** Whether the stream ended with its end marker. */
    public boolean isDone() {
        return done;
    }

    /** Returns the type of an error event, or {@code out-of-order}; empty when neither occurred. */
    public String problem() {
        return problem;
    }

    public String lastEventId() {
        return lastEventId;
    }

    public long promptTokens() {
        return promptTokens;
    }

    public long cachedTokens() {
        return cachedTokens;
    }

    private void handleEvent(EventStreamParser.Event event) {
        if (event.data().equals("[DONE]")) {
            done = true;
            return;
        }
        JsonNode node = parse(event.data());
        if (event.type().equals("error")) {
            problem = node.path("type").asText("error");
            return;
        }
        String content =
                node.path("choices").path(0).path("delta").path("content").asText("");
        if (!content.isEmpty()) {
            if (tokens == 0) {
                onFirstToken.run();
            }
            checkOffset(event.id());
            tokens++;
            text.append(content);
        }
        JsonNode usage = node.path("usage");
        if (usage.isObject()) {
            promptTokens = usage.path("prompt_tokens").asLong();
            cachedTokens =
                    usage.path("prompt_tokens_details").path("cached_tokens").asLong();
        }
    }

    // An event id ends with the offset of its token in the output; no token may be missing or repeated.
    private void checkOffset(String id) {
        if (id.isEmpty()) {
            return;
        }
        lastEventId = id;
        String offset = id.substring(id.lastIndexOf('~') + 1);
        if (!offset.equals(Integer.toString(tokens)) && problem.isEmpty()) {
            problem = "out-of-order";
        }
    }

    private static JsonNode parse(String data) {
        try {
            return Exchange.MAPPER.readTree(data);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the data of a server-sent event is not JSON: " + data, e);
        }
    }
}
