package io.agatelane.lab.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Sends JSON requests over one shared HTTP client. */
public final class LabClient implements AutoCloseable {
    private static final int MAX_CONNECTIONS_PER_DESTINATION = 2_048;
    private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

    private final HttpClient http;

    /** Starts a client. */
    public LabClient() {
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        QueuedThreadPool threads = new QueuedThreadPool(16, 2);
        threads.setName("lab-client");
        threads.setDaemon(true);
        connector.setExecutor(threads);
        http = new HttpClient(new HttpClientTransportOverHTTP(connector));
        http.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_DESTINATION);
        http.setMaxRequestsQueuedPerDestination(100_000);
        http.setFollowRedirects(false);
        http.setUserAgentField(null);
        try {
            http.start();
        } catch (Exception e) {
            throw new IllegalStateException("cannot start the HTTP client", e);
        }
    }

    /** Returns the underlying HTTP client, for calls that read streams. */
    public HttpClient http() {
        return http;
    }

    /** Gets a JSON document; fails on any status but 200. */
    public CompletableFuture<JsonNode> get(String url) {
        return call(HttpMethod.GET, url, null, Map.of(), 10_000).thenApply(LabClient::requireOk);
    }

    /** Posts a JSON document; fails on any status but 200. */
    public CompletableFuture<JsonNode> post(String url, ObjectNode body) {
        return call(HttpMethod.POST, url, body, Map.of(), 10_000).thenApply(LabClient::requireOk);
    }

    /** Puts a JSON document; fails on any status but 200. */
    public CompletableFuture<JsonNode> put(String url, ObjectNode body) {
        return call(HttpMethod.PUT, url, body, Map.of(), 10_000).thenApply(LabClient::requireOk);
    }

    /** Sends a request and completes with the whole response, whatever its status. */
    public CompletableFuture<LabResponse> call(
            HttpMethod method, String url, ObjectNode body, Map<String, String> headers, long timeoutMillis) {
        CompletableFuture<LabResponse> response = new CompletableFuture<>();
        Request request = http.newRequest(url).method(method).timeout(timeoutMillis, TimeUnit.MILLISECONDS);
        request.headers(fields -> headers.forEach(fields::put));
        if (body != null) {
            request.body(new StringRequestContent("application/json", body.toString()));
        }
        request.send(new BufferingResponseListener(MAX_RESPONSE_BYTES) {
            @Override
            public void onComplete(Result result) {
                if (result.isFailed()) {
                    response.completeExceptionally(result.getFailure());
                } else {
                    response.complete(new LabResponse(result.getResponse().getStatus(), getContent()));
                }
            }
        });
        return response;
    }

    @Override
    public void close() {
        try {
            http.stop();
        } catch (Exception e) {
            throw new IllegalStateException("cannot stop the HTTP client", e);
        }
    }

    private static JsonNode requireOk(LabResponse response) {
        if (response.status() != 200) {
            throw new IllegalStateException("status " + response.status() + ": " + response.text());
        }
        return response.json();
    }

    /** Status and body of a response. */
    public static final class LabResponse {
        private final int status;
        private final byte[] content;

        LabResponse(int status, byte[] content) {
            this.status = status;
            this.content = content;
        }

        public int status() {
            return status;
        }

        public String text() {
            return new String(content, StandardCharsets.UTF_8);
        }

        /** Parses the body as JSON. */
        public JsonNode json() {
            try {
                return Exchange.MAPPER.readTree(content);
            } catch (IOException e) {
                throw new IllegalStateException("the response body is not JSON: " + text(), e);
            }
        }
    }
}
