package io.agatelane.node.io.service;

import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.Executed;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.io.http.BoundedHttpClients;
import io.agatelane.node.io.http.FinalStatus;
import io.agatelane.node.io.http.InterimResponses;
import io.agatelane.node.util.Futures;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * HTTP calls to plain services.
 *
 * <p>Jetty's client sends a request a second time in these cases: after a redirect, after an authentication challenge,
 * and when a pooled connection turns out to be closed. The first two are switched off for all calls by removing the
 * protocol handlers. The third happens only in the connection pool, which calls that may run at most once do not use:
 * each of them opens a connection, sends on exactly this connection and closes it.
 */
final class ServiceClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_CONNECTIONS = 512;
    private static final int MAX_THREADS = 16;
    // Short, so that repeatable calls also avoid connections that the service may be about to close.
    private static final int POOL_IDLE_MILLIS = 2_000;
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    // A body and the framing of chunks of a few bytes.
    private static final long MAX_RECEIVED_BYTES = 2L * MAX_RESPONSE_BYTES;

    private final NodeContext context;
    private final HttpClient client;

    ServiceClient(NodeContext context) {
        this.context = context;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);
        threads.setName("services-" + context.settings().vmName());
        threads.setDaemon(true);
        client = BoundedHttpClients.create(MAX_RECEIVED_BYTES);
        client.setExecutor(threads);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setIdleTimeout(POOL_IDLE_MILLIS);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
    }

    void start() {
        try {
            client.start();
        } catch (Exception e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the HTTP client did not start", e);
        }
        // The client installs its default handlers and decoders when it starts, so they are removed only now.
        InterimResponses.handleOnly(client);
        client.getContentDecoderFactories().clear();
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the HTTP client did not stop", e);
        }
    }

    /** Sends a GET request on a pooled connection. */
    CompletableFuture<ServiceResponse> get(
            String baseUrl, String target, Map<String, String> headers, long timeoutMillis) {
        return send(request("GET", baseUrl, target, headers, new byte[0], timeoutMillis), null, timeoutMillis);
    }

    /** Sends a repeatable call on a pooled connection. */
    CompletableFuture<ServiceResponse> call(String baseUrl, ServiceRequest call, long timeoutMillis) {
        Request request = request(
                call.operation().method(),
                baseUrl,
                call.target(),
                call.headers(),
                call.body().bytes(),
                timeoutMillis);
        return send(request, null, timeoutMillis);
    }

    /**
     * Opens a connection for one call that may run at most once. The future fails with {@code NO_UPSTREAM} when the
     * connection cannot be opened; in this case nothing was sent.
     */
    CompletableFuture<Connection> connect(String baseUrl) {
        Request destinationRequest = client.newRequest(URI.create(baseUrl));
        return client.resolveDestination(destinationRequest)
                .newConnection()
                .exceptionallyCompose(failure -> CompletableFuture.failedFuture(
                        new AgatelaneException(FailureType.NO_UPSTREAM, "cannot connect: " + failure, failure)
                                .withLocation(baseUrl)));
    }

    /** Sends a call on a connection from {@link #connect} and closes the connection. */
    CompletableFuture<ServiceResponse> callOnce(
            Connection connection, String baseUrl, ServiceRequest call, long timeoutMillis) {
        Request request = request(
                call.operation().method(),
                baseUrl,
                call.target(),
                call.headers(),
                call.body().bytes(),
                timeoutMillis);
        request.headers(fields -> fields.put(HttpHeader.CONNECTION, "close"));
        return send(request, connection, timeoutMillis).whenComplete((response, failure) -> connection.close());
    }

    private Request request(
            String method,
            String baseUrl,
            String target,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis) {
        Request request = client.newRequest(uri(baseUrl, target)).method(method);
        // The idle timeout of pooled connections is short. It must not end a running call, so the call's own timeout
        // applies first.
        request.idleTimeout(timeoutMillis + POOL_IDLE_MILLIS, TimeUnit.MILLISECONDS);
        request.headers(fields -> headers.forEach(fields::put));
        if (body.length > 0) {
            String contentType = headers.getOrDefault("Content-Type", "application/octet-stream");
            request.body(new BytesRequestContent(contentType, body));
        }
        return request;
    }

    private static URI uri(String baseUrl, String target) {
        String base = baseUrl.endsWith("/") ? baseUrl.substring(0, baseUrl.length() - 1) : baseUrl;
        return URI.create(base + (target.startsWith("/") ? target : "/" + target));
    }

    private CompletableFuture<ServiceResponse> send(Request request, Connection connection, long timeoutMillis) {
        CompletableFuture<ServiceResponse> result = new CompletableFuture<>();
        Subscription timer = context.timers().after(timeoutMillis, () -> abort(request));
        Response.CompleteListener listener = new BufferingResponseListener(MAX_RESPONSE_BYTES) {
            @Override
            public void onComplete(Result exchange) {
                timer.cancel();
                if (exchange.isSucceeded()) {
                    Futures.complete(result, () -> toResponse(exchange.getResponse(), getContent()));
                } else {
                    result.completeExceptionally(toException(request, exchange.getFailure()));
                }
            }
        };
        request.onResponseHeaders(FinalStatus::abortUnlessFinal);
        try {
            if (connection == null) {
                request.send(listener);
            } else {
                connection.send(request, listener);
            }
        } catch (RuntimeException e) {
            timer.cancel();
            result.completeExceptionally(toException(request, e));
        }
        return result;
    }

    private static void abort(Request request) {
        CompletableFuture<Boolean> unused = request.abort(new TimeoutException("no response in time"));
    }

    private static ServiceResponse toResponse(Response response, byte[] content) {
        String contentType = response.getHeaders().get(HttpHeader.CONTENT_TYPE);
        return new ServiceResponse(
                response.getStatus(), contentType == null ? "" : contentType, content == null ? new byte[0] : content);
    }

    private static AgatelaneException toException(Request request, Throwable cause) {
        FailureType type =
                cause instanceof TimeoutException ? FailureType.UPSTREAM_TIMEOUT : FailureType.UPSTREAM_FAILED;
        String detail = type == FailureType.UPSTREAM_TIMEOUT
                ? "the service did not respond in time"
                : "the service did not complete its response: " + cause;
        // Both exceptions are thrown only while the connection is being established, so the call did not run.
        boolean notConnected = cause instanceof ConnectException || cause instanceof SocketTimeoutException;
        Executed executed = notConnected ? Executed.NO : Executed.UNKNOWN;
        return new AgatelaneException(type, detail, cause)
                .withLocation(request.getHost() + ":" + request.getPort())
                .withExecuted(executed);
    }
}
