package io.agatelane.lab.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.hash.PromptDigester;
import io.agatelane.core.hash.PromptDigests;
import io.agatelane.lab.http.BadRequestException;

/**
 * A parsed request for a chat completion.
 *
 * @param resumeText text of the output tokens that were generated before this request
 * @param resumeTokens number of these tokens
 */
public record GenerationRequest(
        String requestId,
        String model,
        String salt,
        PromptDigests digests,
        String canonicalPrompt,
        int maxTokens,
        int priority,
        boolean streamed,
        String resumeText,
        int resumeTokens) {
    private static final int DEFAULT_MAX_TOKENS = 64;

    /**
     * Parses the body of a request.
     *
     * @throws BadRequestException when there are no messages or a token count is out of range
     */
    public static GenerationRequest parse(String requestId, ObjectNode body) {
        JsonNode messages = body.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw new BadRequestException("messages must be a non-empty array");
        }
        String salt = body.path("cache_salt").asText("");
        PromptDigester digester = new PromptDigester(salt);
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            String role = message.path("role").asText("");
            String content = message.path("content").asText("");
            digester.add(role, content);
            prompt.append(role).append('\n').append(content).append('\n');
        }
        int maxTokens =
                body.path("max_tokens").asInt(body.path("max_completion_tokens").asInt(DEFAULT_MAX_TOKENS));
        int resumeTokens = body.path("resume_tokens").asInt(0);
        if (maxTokens < 1 || resumeTokens < 0) {
            throw new BadRequestException("max_tokens must be at least 1 and resume_tokens must not be negative");
        }
        return new GenerationRequest(
                requestId,
                body.path("model").asText(""),
                salt,
                digester.build(),
                prompt.toString(),
                maxTokens,
                body.path("priority").asInt(0),
                body.path("stream").asBoolean(false),
                body.path("resume_text").asText(""),
                resumeTokens);
    }

    /** Returns a copy of this prompt under another request id and response format. */
    GenerationRequest withIdentity(String newRequestId, boolean newStreamed) {
        return new GenerationRequest(
                newRequestId,
                model,
                salt,
                digests,
                canonicalPrompt,
                maxTokens,
                priority,
                newStreamed,
                resumeText,
                resumeTokens);
    }

    int promptTokens() {
        return digests.tokenCount();
    }
}
