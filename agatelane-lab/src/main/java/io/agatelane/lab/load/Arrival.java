package io.agatelane.lab.load;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.hash.PromptDigester;
import io.agatelane.lab.engine.TokenSource;
import java.util.List;

/**
 * One request of an arrival plan.
 *
 * @param intendedMillis planned send time, from the start of the run
 * @param account index of the client account
 * @param texts messages of a chat request, the most widely shared first
 * @param key request id, and idempotency key of a booking
 */
public record Arrival(
        int index, double intendedMillis, WorkloadClass workloadClass, int account, List<String> texts, String key) {
    public Arrival {
        texts = List.copyOf(texts);
    }

    /** Returns the JSON body of the request. */
    public ObjectNode body() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        if (workloadClass.isBooking()) {
            return body.put("plot", key).put("index", index);
        }
        body.put("model", workloadClass.model()).put("stream", true).put("max_tokens", workloadClass.maxTokens());
        body.putObject("stream_options").put("include_usage", true);
        ArrayNode messages = body.putArray("messages");
        for (int i = 0; i < texts.size(); i++) {
            messages.addObject().put("role", roleOf(i)).put("content", texts.get(i));
        }
        return body;
    }

    /** Returns the whole output that the stand-in for an engine generates for this request. */
    public String expectedText(String weightsVersion) {
        StringBuilder prompt = new StringBuilder();
        for (int i = 0; i < texts.size(); i++) {
            prompt.append(roleOf(i)).append('\n').append(texts.get(i)).append('\n');
        }
        return TokenSource.of(workloadClass.model(), weightsVersion, prompt.toString())
                .text(workloadClass.maxTokens());
    }

    /** Adds the messages to a prompt digester, in the order in which they are sent. */
    public void addMessagesTo(PromptDigester digester) {
        for (int i = 0; i < texts.size(); i++) {
            digester.add(roleOf(i), texts.get(i));
        }
    }

    static String roleOf(int messageIndex) {
        return messageIndex == 0 ? "system" : "user";
    }
}
