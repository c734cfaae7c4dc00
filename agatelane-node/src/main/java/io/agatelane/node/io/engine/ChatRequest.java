package io.agatelane.node.io.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.hash.PromptDigester;
import io.agatelane.core.hash.PromptDigests;
import io.agatelane.core.model.ClientAccount;
import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.model.Model;
import io.agatelane.core.model.RoutingPolicy;
import java.io.IOException;

/** A validated chat-completions request with the configuration that applies to it. */
record ChatRequest(
        ClientAccount account,
        Model model,
        RoutingPolicy policy,
        ObjectNode body,
        PromptDigests prompt,
        int maxTokens,
        boolean maxTokensGiven,
        boolean stream,
        RequestFingerprint fingerprint) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    /**
     * Parses and validates the body of a request.
     *
     * @throws AgatelaneException with the location of the first error in the body
     */
    static ChatRequest parse(byte[] bytes, ClientAccount account, ConfigSnapshot config, EngineTable table) {
        ObjectNode body = readObject(bytes);
        String modelName = requireText(body, "model");
        Model configuredModel = config.model(modelName)
                .orElseThrow(() ->
                        new AgatelaneException(FailureType.MODEL_NOT_FOUND, "the model " + modelName + " is unknown"));
        RequestFingerprint fingerprint = RequestFingerprint.of(account.name(), bytes);
        // With the fingerprint as the seed, a repeated request gets the same weights version, and so the same prefix
        // cache.
        Model model = table.withServedWeights(configuredModel, fingerprint.value());
        requireOneChoice(body);
        boolean stream = readStream(body);
        int givenMaxTokens = readMaxTokens(body);
        PromptDigests prompt = digestMessages(body, account.name() + "/" + model.weightsVersion());
        return new ChatRequest(
                account,
                model,
                config.policyFor(account, model),
                body,
                prompt,
                givenMaxTokens > 0 ? givenMaxTokens : model.defaultMaxTokens(),
                givenMaxTokens > 0,
                stream,
                fingerprint);
    }

    /** Returns the request for another weights version, in the cache namespace of that version. */
    ChatRequest withWeightsVersion(String weightsVersion) {
        Model otherModel = model.withWeightsVersion(weightsVersion);
        PromptDigests otherPrompt = digestMessages(body, account.name() + "/" + weightsVersion);
        return new ChatRequest(
                account, otherModel, policy, body, otherPrompt, maxTokens, maxTokensGiven, stream, fingerprint);
    }

    /** Cache namespace at the engine: blocks are shared only within one account and weights version. */
    String salt() {
        return account.name() + "/" + model.weightsVersion();
    }

    private static ObjectNode readObject(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            if (node instanceof ObjectNode object) {
                return object;
            }
            throw malformed("the body must be a JSON object", "");
        } catch (JsonProcessingException e) {
            String where = e.getLocation() == null
                    ? ""
                    : " at line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            throw malformed("the body is not valid JSON" + where + ": " + e.getOriginalMessage(), "");
        } catch (IOException e) {
            throw malformed("the body cannot be read: " + e.getMessage(), "");
        }
    }

    private static String requireText(ObjectNode body, String field) {
        JsonNode node = body.get(field);
        if (node == null || !node.isTextual() || node.textValue().isEmpty()) {
            throw malformed("\"" + field + "\" must be a non-empty string", "/" + field);
        }
        return node.textValue();
    }

    private static void requireOneChoice(ObjectNode body) {
        JsonNode node = body.get("n");
        // Tokens are numbered in one sequence, so a stream can carry only one choice.
        if (node != null && !node.isNull() && !(node.isInt() && node.intValue() == 1)) {
            throw malformed("\"n\" must be 1", "/n");
        }
    }

    private static boolean readStream(ObjectNode body) {
        JsonNode node = body.get("stream");
        if (node == null || node.isNull()) {
            return false;
        }
        if (!node.isBoolean()) {
            throw malformed("\"stream\" must be true or false", "/stream");
        }
        return node.booleanValue();
    }

    // Returns 0 when the caller gives no limit.
    private static int readMaxTokens(ObjectNode body) {
        for (String field : new String[] {"max_completion_tokens", "max_tokens"}) {
            JsonNode node = body.get(field);
            if (node == null || node.isNull()) {
                continue;
            }
            if (!node.isInt() || node.intValue() < 1) {
                throw malformed("\"" + field + "\" must be a positive integer", "/" + field);
            }
            return node.intValue();
        }
        return 0;
    }

    private static PromptDigests digestMessages(ObjectNode body, String salt) {
        JsonNode messages = body.get("messages");
        if (messages == null || !messages.isArray() || messages.isEmpty()) {
            throw malformed("\"messages\" must be a non-empty array", "/messages");
        }
        PromptDigester digester = new PromptDigester(salt);
        for (int i = 0; i < messages.size(); i++) {
            JsonNode message = messages.get(i);
            String pointer = "/messages/" + i;
            if (!message.isObject() || !message.path("role").isTextual()) {
                throw malformed("each message must be an object with a \"role\"", pointer);
            }
            digester.add(message.get("role").textValue(), messageText(message.path("content"), pointer));
        }
        return digester.build();
    }

    private static String messageText(JsonNode content, String pointer) {
        if (content.isTextual()) {
            return content.textValue();
        }
        if (content.isMissingNode() || content.isNull()) {
            return "";
        }
        if (!content.isArray()) {
            throw malformed("\"content\" must be a string or an array of parts", pointer + "/content");
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode part : content) {
            text.append(part.path("text").asText(""));
        }
        return text.toString();
    }

    private static AgatelaneException malformed(String detail, String pointer) {
        String where = pointer.isEmpty() ? "" : " (" + pointer + ")";
        return new AgatelaneException(FailureType.MALFORMED_REQUEST, detail + where).withLocation(pointer);
    }
}
