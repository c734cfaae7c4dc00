package io.agatelane.node.io.service;

import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.model.ClientAccount;
import io.agatelane.core.model.Operation;
import io.agatelane.core.model.Service;
import io.agatelane.node.api.ConfigView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.io.http.Authenticator;
import io.agatelane.node.io.http.BodyReader;
import io.agatelane.node.io.http.ProblemDocuments;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Checks callers' requests below {@code /services/}, has them forwarded and writes the responses. */
final class ServiceHandler extends Handler.Abstract.NonBlocking {
    private static final String PREFIX = "/services/";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String REQUEST_ID = "X-Request-Id";
    private static final int MAX_KEY_LENGTH = 255;
    private static final int MAX_REQUEST_ID_LENGTH = 128;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    // Headers that are not forwarded to services. The API key is meant for this router only; the others describe one
    // connection or are set by the HTTP client.
    private static final Set<String> UNFORWARDED_HEADERS = Set.of(
            "authorization",
            "proxy-authorization",
            "host",
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
            "accept-encoding",
            "x-request-id");

    private final NodeContext context;
    private final ConfigView config;
    private final Authenticator authenticator;
    private final RepeatableCalls repeatable;
    private final BookedCalls booked;
    private final AtomicInteger runningRequests = new AtomicInteger();
    private final AtomicLong requestCounter = new AtomicLong();
    private volatile boolean refusing;
    private volatile Runnable onIdle = () -> {};

    ServiceHandler(
            NodeContext context,
            ConfigView config,
            Authenticator authenticator,
            RepeatableCalls repeatable,
            BookedCalls booked) {
        this.context = context;
        this.config = config;
        this.authenticator = authenticator;
        this.repeatable = repeatable;
        this.booked = booked;
    }

    void onIdle(Runnable action) {
        this.onIdle = action;
    }

    void refuseNew() {
        refusing = true;
    }

    /** Returns the number of requests whose response is not complete. */
    int runningRequests() {
        return runningRequests.get();
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = request.getHttpURI().getCanonicalPath();
        if (path == null || !path.startsWith(PREFIX)) {
            return false;
        }
        // Counted before the check for a shutdown, so that each request is either refused or waited for by the drain.
        runningRequests.incrementAndGet();
        Callback counted = Callback.from(callback, this::requestEnded);
        String requestId = requestId(request);
        CompletableFuture<ServiceResponse> serviceResponse;
        try {
            serviceResponse = accept(request, path.substring(PREFIX.length()), requestId);
        } catch (RuntimeException e) {
            serviceResponse = CompletableFuture.failedFuture(e);
        }
        Completion.then(serviceResponse, (result, failure) -> {
            if (failure == null) {
                write(response, counted, result, requestId);
            } else {
                ProblemDocuments.write(response, counted, AgatelaneException.from(failure), requestId);
            }
        });
        return true;
    }

    private void requestEnded() {
        if (runningRequests.decrementAndGet() == 0 && refusing) {
            onIdle.run();
        }
    }

    private CompletableFuture<ServiceResponse> accept(Request request, String path, String requestId) {
        if (refusing) {
            throw new AgatelaneException(FailureType.SHUTTING_DOWN, "this router is shutting down")
                    .withRetryAfterMillis(RETRY_AFTER_MILLIS);
        }
        ClientAccount account = authenticator.authenticate(request);
        int slash = path.indexOf('/');
        String prefix = slash < 0 ? path : path.substring(0, slash);
        String pathBelowPrefix = slash < 0 ? "/" : path.substring(slash);
        Service service = config.current()
                .serviceByPathPrefix(prefix)
                .orElseThrow(() ->
                        new AgatelaneException(FailureType.NOT_FOUND, "no service has the path " + PREFIX + prefix));
        Operation operation = operation(service, request.getMethod(), pathBelowPrefix)
                .orElseThrow(() -> new AgatelaneException(
                        FailureType.NOT_FOUND,
                        "no operation " + request.getMethod() + " " + pathBelowPrefix + " of service "
                                + service.name()));
        String key = request.getHeaders().get(IDEMPOTENCY_KEY);
        checkIdempotencyKey(operation, key);
        String target = forwardedTarget(request, PREFIX + prefix);
        return BodyReader.read(request, context.settings().maxBodyBytes())
                .thenApply(RequestBody::new)
                .thenCompose(body -> dispatch(new ServiceRequest(
                        requestId,
                        account.name(),
                        service,
                        operation,
                        target,
                        headers(request, requestId),
                        key == null ? "" : key,
                        body)));
    }

    // The operation is found by the canonical path, but the path is forwarded as received. Both must denote the same
    // resource, so paths with dot segments, parameters or an encoded prefix are refused.
    private static String forwardedTarget(Request request, String prefix) {
        String path = request.getHttpURI().getPath();
        String pathBelowPrefix = path.startsWith(prefix) ? path.substring(prefix.length()) : "";
        boolean canonical = path.startsWith(prefix)
                && (pathBelowPrefix.isEmpty() || pathBelowPrefix.startsWith("/"))
                && pathBelowPrefix.indexOf(';') < 0
                && !pathBelowPrefix.contains("/./")
                && !pathBelowPrefix.contains("/../")
                && !pathBelowPrefix.endsWith("/.")
                && !pathBelowPrefix.endsWith("/..");
        String query = request.getHttpURI().getQuery();
        String target = (pathBelowPrefix.isEmpty() ? "/" : pathBelowPrefix) + (query == null ? "" : "?" + query);
        if (!canonical || !isUri(target)) {
            throw new AgatelaneException(FailureType.MALFORMED_REQUEST, "the path or the query is malformed");
        }
        return target;
    }

    private static boolean isUri(String target) {
        try {
            return new URI("http://localhost" + target).getHost() != null;
        } catch (URISyntaxException e) {
            return false;
        }
    }

    // Configured paths are accepted with and without the leading slash.
    private static Optional<Operation> operation(Service service, String method, String path) {
        return service.operation(method, path).or(() -> service.operation(method, path.substring(1)));
    }

    private CompletableFuture<ServiceResponse> dispatch(ServiceRequest call) {
        if (call.operation().repeatable()) {
            context.metrics().counter("services.calls.repeatable").inc();
            return repeatable.run(call);
        }
        context.metrics().counter("services.calls.booked").inc();
        return booked.run(call);
    }

    private static void checkIdempotencyKey(Operation operation, String key) {
        if (key == null || key.isBlank()) {
            if (!operation.repeatable()) {
                throw new AgatelaneException(
                        FailureType.IDEMPOTENCY_KEY_REQUIRED, "this call needs an Idempotency-Key header");
            }
        } else if (key.length() > MAX_KEY_LENGTH) {
            throw new AgatelaneException(
                    FailureType.MALFORMED_REQUEST, "the Idempotency-Key is longer than " + MAX_KEY_LENGTH);
        }
    }

    private static Map<String, String> headers(Request request, String requestId) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (HttpField field : request.getHeaders()) {
            if (!UNFORWARDED_HEADERS.contains(field.getLowerCaseName())) {
                headers.merge(field.getName(), String.valueOf(field.getValue()), (a, b) -> a + ", " + b);
            }
        }
        headers.put(REQUEST_ID, requestId);
        return headers;
    }

    private String requestId(Request request) {
        String callerRequestId = request.getHeaders().get(REQUEST_ID);
        if (callerRequestId != null
                && !callerRequestId.isBlank()
                && callerRequestId.length() <= MAX_REQUEST_ID_LENGTH) {
            return callerRequestId;
        }
        return String.format(
                Locale.ROOT,
                "%s-%x-%d",
                context.settings().vmName(),
                context.incarnation(),
                requestCounter.incrementAndGet());
    }

    private static void write(Response response, Callback callback, ServiceResponse serviceResponse, String requestId) {
        response.setStatus(serviceResponse.status());
        if (!serviceResponse.contentType().isEmpty()) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, serviceResponse.contentType());
        }
        response.getHeaders().put(REQUEST_ID, requestId);
        response.write(true, ByteBuffer.wrap(serviceResponse.body()), callback);
    }
}
