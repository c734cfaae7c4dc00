package io.agatelane.lab.engine;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.lab.http.Exchange;
import io.agatelane.lab.http.StreamWriter;

/** Writes one completion to its connection, streamed or whole, in the OpenAI format. */
final class CompletionWriter implements TokenReader {
    private final Exchange exchange;
    private final String requestId;
    private final String model;
    private final boolean streamed;
    private final StringBuilder text = new StringBuilder();
    private StreamWriter stream;

    CompletionWriter(Exchange exchange, String requestId, String model, boolean streamed) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.model = model;
        this.streamed = streamed;
    }

    /** Sends the headers of a streamed response, which shows the client that the request was accepted. */
    void open(Runnable onReaderGone) {
        if (streamed) {
            stream = exchange.stream(200, "text/event-stream");
            stream.onFailure(onReaderGone);
            stream.sendHeaders();
        }
    }

    /** Discards all further output of a stream while its connection stays open. */
    void discardFurtherOutput() {
        if (stream != null) {
            stream.discardFurtherOutput();
        }
    }

    @Override
    public void onToken(int offset, String token) {
        if (!streamed) {
            text.append(token);
            return;
        }
        ObjectNode chunk = chunk();
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta").put("content", token);
        choice.putNull("finish_reason");
        stream.send("id: " + offset + "\ndata: " + chunk + "\n\n");
    }

    @Override
    public void onEnd(GenerationResult result) {
        if (streamed) {
            ObjectNode chunk = chunk();
            ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
            choice.putObject("delta");
            choice.put("finish_reason", result.finishReason());
            putUsage(chunk, result);
            stream.send("data: " + chunk + "\n\ndata: [DONE]\n\n");
            stream.end();
            return;
        }
        ObjectNode response = JsonNodeFactory.instance.objectNode();
        response.put("id", "chatcmpl-" + requestId).put("object", "chat.completion");
        response.put("created", 0).put("model", model);
        ObjectNode choice = response.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text.toString());
        choice.put("finish_reason", result.finishReason());
        putUsage(response, result);
        exchange.respond(200, response);
    }

    @Override
    public void onAbort() {
        if (stream != null) {
            stream.abort();
        } else {
            exchange.close();
        }
    }

    private ObjectNode chunk() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("id", "chatcmpl-" + requestId)
                .put("object", "chat.completion.chunk")
                .put("created", 0)
                .put("model", model);
    }

    private static void putUsage(ObjectNode node, GenerationResult result) {
        ObjectNode usage = node.putObject("usage");
        usage.put("prompt_tokens", result.promptTokens());
        usage.put("completion_tokens", result.completionTokens());
        usage.put("total_tokens", result.promptTokens() + result.completionTokens());
        usage.putObject("prompt_tokens_details").put("cached_tokens", result.cachedTokens());
    }
}
