package io.agatelane.node.io.engine;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.io.http.BoundedHttpClients;
import io.agatelane.node.io.http.FinalStatus;
import io.agatelane.node.io.http.InterimResponses;
import io.agatelane.node.util.Futures;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** HTTP client for the chat, stream, cache event and load endpoints of engines. */
final class EngineClient implements AutoCloseable {
    private static final int MAX_CONNECTIONS_PER_ENGINE = 4_096;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_SMALL_RESPONSE_BYTES = 64 * 1024;

    private static final int MAX_MESSAGE_LENGTH = 80;

    private final HttpClient client = BoundedHttpClients.create(MAX_SMALL_RESPONSE_BYTES);

    EngineClient() {
        QueuedThreadPool threads = new QueuedThreadPool();
        threads.setName("engine-client");
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_ENGINE);
        client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS_PER_ENGINE);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
    }

    void start() {
        try {
            client.start();
        } catch (Exception e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the engine client did not start: " + e, e);
        }
        // Responses are passed on as they are: no decoding, redirects or authentication.
        client.getContentDecoderFactories().clear();
        InterimResponses.handleOnly(client);
    }

    /** Prepares a chat completion. */
    Request chat(String baseUrl, byte[] body, String requestId, String incarnation, String weightsVersion) {
        return client.newRequest(URI.create(baseUrl + "/v1/chat/completions"))
                .method(HttpMethod.POST)
                .body(new BytesRequestContent("application/json", body))
                .headers(headers -> headers.put("X-Request-Id", requestId)
                        .put("X-Expect-Incarnation", incarnation)
                        .put("X-Expect-Weights", weightsVersion));
    }

    /** Prepares the resumption of a stream on a new connection. */
    Request resume(String baseUrl, String requestId, long from) {
        return client.newRequest(URI.create(baseUrl + "/v1/streams/" + requestId + "?from=" + from))
                .method(HttpMethod.GET)
                .headers(headers -> headers.put(HttpHeader.CONNECTION, "close").put("X-Request-Id", requestId));
    }

    /** Prepares the stream of an engine's cache events. */
    Request events(String baseUrl, long from) {
        return client.newRequest(URI.create(baseUrl + "/events?from=" + from)).method(HttpMethod.GET);
    }

    /** Cancels a stream. Failures are ignored, because an engine that has stopped runs nothing. */
    void cancel(String baseUrl, String requestId) {
        client.newRequest(URI.create(baseUrl + "/v1/streams/" + requestId))
                .method(HttpMethod.DELETE)
                .timeout(2, TimeUnit.SECONDS)
                .send(result -> {});
    }

    /**
     * Gets a small document; a response with any status completes the future.
     *
     * @return fails with {@code NO_UPSTREAM} when the connection is refused, {@code UPSTREAM_TIMEOUT} when no response
     *     arrives in time, {@code UPSTREAM_FAILED} when the connection breaks
     */
    CompletableFuture<SmallResponse> get(String baseUrl, String path, long timeoutMillis) {
        CompletableFuture<SmallResponse> future = new CompletableFuture<>();
        client.newRequest(URI.create(baseUrl + path))
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .onResponseHeaders(FinalStatus::abortUnlessFinal)
                .send(new BufferingResponseListener(MAX_SMALL_RESPONSE_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        if (result.isFailed()) {
                            future.completeExceptionally(
                                    toAgatelaneException(result.getFailure()).withLocation(baseUrl));
                            return;
                        }
                        Futures.complete(
                                future,
                                () -> new SmallResponse(
                                        result.getResponse().getStatus(),
                                        result.getResponse().getHeaders(),
                                        getContentAsString(StandardCharsets.UTF_8)));
                    }
                });
        return future;
    }

    /** Describes a failure without the state dumps that the HTTP client puts into its messages. */
    static String describe(Throwable failure) {
        String message = failure.getMessage();
        String name = failure.getClass().getSimpleName();
        return message == null || message.length() > MAX_MESSAGE_LENGTH ? name : name + ": " + message;
    }

    private static AgatelaneException toAgatelaneException(Throwable failure) {
        FailureType type = FailureType.UPSTREAM_FAILED;
        if (failure instanceof TimeoutException || failure instanceof SocketTimeoutException) {
            type = FailureType.UPSTREAM_TIMEOUT;
        } else if (failure instanceof ConnectException) {
            type = FailureType.NO_UPSTREAM;
        }
        return new AgatelaneException(type, describe(failure), failure);
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the engine client did not stop: " + e, e);
        }
    }

    /** A response with its whole body. */
    record SmallResponse(int status, HttpFields headers, String body) {}
}
