package io.agatelane.node.io.orders;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.model.Upstream;
import io.agatelane.core.orders.DesiredState;
import io.agatelane.core.orders.EngineState;
import io.agatelane.core.orders.SendOutcome;
import io.agatelane.node.io.http.BoundedHttpClients;
import java.net.ConnectException;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Reads the state of engines by {@code GET /orders} and sends orders by {@code POST /orders}. */
final class HttpEngineOrderClient implements EngineOrderClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    private static final long READ_TIMEOUT_MILLIS = 2_000;
    /** Orders are rare, so only the selector and a few tasks run at once. */
    private static final int MAX_THREADS = 8;

    private final HttpClient client = BoundedHttpClients.create(MAX_RESPONSE_BYTES);
    private final long orderTimeoutMillis;

    HttpEngineOrderClient(long orderTimeoutMillis) {
        this.orderTimeoutMillis = orderTimeoutMillis;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 1);
        threads.setName("orders");
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setFollowRedirects(false);
        try {
            client.start();
        } catch (Exception e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the HTTP client for orders did not start", e);
        }
    }

    @Override
    public CompletableFuture<EngineState> readState(Upstream engine) {
        Request request = request(engine, HttpMethod.GET, READ_TIMEOUT_MILLIS);
        return new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
                .send()
                .handle((response, failure) -> {
                    if (failure != null) {
                        throw toException(engine, failure);
                    }
                    return parseState(engine, response);
                });
    }

    @Override
    public CompletableFuture<SendOutcome> sendOrder(Upstream engine, long fencingNumber, DesiredState desired) {
        ObjectNode body = JSON.createObjectNode()
                .put("fencing_number", fencingNumber)
                .put("model", desired.model())
                .put("weights_version", desired.weightsVersion());
        if (!desired.adapter().isEmpty()) {
            body.put("adapter", desired.adapter());
        }
        if (!desired.role().isEmpty()) {
            body.put("role", desired.role());
        }
        Request request = request(engine, HttpMethod.POST, orderTimeoutMillis)
                .body(new StringRequestContent("application/json", body.toString()));
        return new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
                .send()
                .handle((response, failure) -> failure == null ? toOutcome(response.getStatus()) : toOutcome(failure));
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the HTTP client for orders did not stop", e);
        }
    }

    // A connection for each call: on a kept one whose end was not noticed yet, an order has an unknown outcome although
    // it cannot have arrived.
    private Request request(Upstream engine, HttpMethod method, long timeoutMillis) {
        return client.newRequest(URI.create(engine.baseUrl() + "/orders"))
                .method(method)
                .headers(headers -> headers.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE))
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private static SendOutcome toOutcome(int status) {
        if (status == 200) {
            return SendOutcome.IN_FORCE;
        }
        if (status == 409) {
            return SendOutcome.STALE;
        }
        return status >= 400 && status < 500 ? SendOutcome.REFUSED : SendOutcome.UNKNOWN;
    }

    private static SendOutcome toOutcome(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ConnectException ? SendOutcome.REFUSED : SendOutcome.UNKNOWN;
    }

    private static EngineState parseState(Upstream engine, ContentResponse response) {
        if (response.getStatus() != 200) {
            throw new AgatelaneException(FailureType.UPSTREAM_FAILED, "GET /orders responded " + response.getStatus())
                    .withLocation(engine.name());
        }
        try {
            JsonNode state = JSON.readTree(response.getContent());
            // A response without length that broke off before its body is empty, which is not the state of an engine.
            if (!state.isObject()) {
                throw new AgatelaneException(FailureType.UPSTREAM_FAILED, "GET /orders responded with no object")
                        .withLocation(engine.name());
            }
            return new EngineState(
                    state.path("model").asText(""),
                    state.path("weights_version").asText(""),
                    state.path("adapter").asText(""),
                    state.path("role").asText(""));
        } catch (java.io.IOException e) {
            String kind = e instanceof JsonProcessingException ? "malformed JSON" : "an unreadable body";
            throw new AgatelaneException(FailureType.UPSTREAM_FAILED, "GET /orders responded with " + kind, e)
                    .withLocation(engine.name());
        }
    }

    private static AgatelaneException toException(Upstream engine, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        FailureType type =
                cause instanceof TimeoutException ? FailureType.UPSTREAM_TIMEOUT : FailureType.UPSTREAM_FAILED;
        return new AgatelaneException(type, "GET /orders failed: " + cause, cause).withLocation(engine.name());
    }
}
