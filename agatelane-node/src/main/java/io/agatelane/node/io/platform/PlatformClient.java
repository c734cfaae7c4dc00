package io.agatelane.node.io.platform;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** Client of the platform's key-value service: the JSON gateway of etcd v3 over HTTP. */
public final class PlatformClient implements KeyValueStore, AutoCloseable {
    private static final EventLog LOG = EventLog.of(PlatformClient.class);
    // Limits the memory of a listing. 13,000 client accounts take 2 MB of shards; replaced versions add to that.
    private static final int MAX_RESPONSE_BYTES = 24 << 20;
    private static final int MAX_HEAD_BYTES = 32 << 10;
    private static final int MAX_CONNECTIONS = 32;
    private static final int MAX_THREADS = 8;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int HTTP_OK = 200;
    private static final int MAX_DETAIL_LENGTH = 120;
    // Statuses that the gateway returns for calls that were cancelled in flight and may still take effect.
    private static final Set<Integer> CANCELLED_STATUSES = Set.of(408, 499);

    private final NodeContext context;
    private final CallBudget budget;
    private final HttpClient http;
    private final String baseUrl;
    private final int timeoutMillis;
    private final Counter calls;
    private final Counter failures;
    private final Counter refusedByBudget;
    private final Timer callTime;
    private final Set<PlatformWatch> watches = ConcurrentHashMap.newKeySet();
    private volatile boolean reachable;
    private volatile boolean closed;

    /** Creates the client with the platform settings of the context. */
    public PlatformClient(NodeContext context) {
        this.context = context;
        this.budget = new CallBudget(context.settings().platformCallsPerSecond());
        this.baseUrl = context.settings().platformUrl();
        this.timeoutMillis = context.settings().platformTimeoutMillis();
        this.calls = context.metrics().counter("platform.calls");
        this.failures = context.metrics().counter("platform.call_failures");
        this.refusedByBudget = context.metrics().counter("platform.calls_refused_by_budget");
        this.callTime = context.metrics().timer("platform.call_time");
        this.http = new HttpClient();
    }

    /** Starts the HTTP client. Calls fail before that with {@code PLATFORM_UNAVAILABLE}. */
    public void start() {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 1);
        threads.setName("platform-" + context.settings().vmName());
        threads.setDaemon(true);
        http.setExecutor(threads);
        http.setScheduler(new ScheduledExecutorScheduler("platform-timeouts", true));
        http.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        http.setConnectTimeout(timeoutMillis);
        http.setFollowRedirects(false);
        http.setUserAgentField(null);
        http.setMaxResponseHeadersSize(MAX_HEAD_BYTES);
        try {
            http.start();
        } catch (Exception e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the HTTP client of the platform did not start", e);
        }
    }

    @Override
    public void close() {
        closed = true;
        watches.forEach(PlatformWatch::cancel);
        try {
            http.stop();
        } catch (Exception e) {
            LOG.event("platform_client_stop_failed").error(e);
        }
    }

    @Override
    public CompletableFuture<Optional<KeyValue>> get(String key) {
        return call(false, key, "/v3/kv/range", GatewayJson.range(key), response -> readKeyValues(response).stream()
                .findFirst());
    }

    @Override
    public CompletableFuture<List<KeyValue>> list(String prefix) {
        return call(false, prefix, "/v3/kv/range", GatewayJson.prefixRange(prefix), PlatformClient::readKeyValues);
    }

    @Override
    public CompletableFuture<Long> compareAndSet(String key, long expectedRevision, byte[] value) {
        return compareAndSet(key, expectedRevision, value, 0);
    }

    @Override
    public CompletableFuture<Long> compareAndSet(String key, long expectedRevision, byte[] value, long leaseId) {
        ObjectNode put = GatewayJson.range(key).put("value", GatewayJson.encode(value));
        if (leaseId != 0) {
            put.put("lease", Long.toString(leaseId));
        }
        ObjectNode body = GatewayJson.transaction(key, expectedRevision, "request_put", put);
        return call(true, key, "/v3/kv/txn", body, response -> {
            requireSwapped(response, key, expectedRevision);
            return requireRevision(response);
        });
    }

    @Override
    public CompletableFuture<Void> compareAndDelete(String key, long expectedRevision) {
        ObjectNode body =
                GatewayJson.transaction(key, expectedRevision, "request_delete_range", GatewayJson.range(key));
        return call(true, key, "/v3/kv/txn", body, response -> {
            requireSwapped(response, key, expectedRevision);
            return null;
        });
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMillis) {
        // The service counts whole seconds; rounding up keeps the lease at least as long as requested.
        long seconds = Math.max(1, (ttlMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
        ObjectNode body = GatewayJson.object().put("TTL", Long.toString(seconds));
        return call(true, "lease", "/v3/lease/grant", body, response -> {
            long id = GatewayJson.number(response.path("ID"));
            if (id == 0) {
                throw new IllegalArgumentException("the response has no lease ID");
            }
            return id;
        });
    }

    @Override
    public CompletableFuture<Long> renewLease(long leaseId) {
        ObjectNode body = leaseBody(leaseId);
        return call(true, "lease " + leaseId, "/v3/lease/keepalive", body, response -> {
            JsonNode result = response.path("result");
            return GatewayJson.number(result.path("TTL")) * MILLIS_PER_SECOND;
        });
    }

    @Override
    public CompletableFuture<Void> revokeLease(long leaseId) {
        return call(true, "lease " + leaseId, "/v3/lease/revoke", leaseBody(leaseId), response -> null);
    }

    @Override
    public Subscription watch(String key, Consumer<KeyValue> listener) {
        PlatformWatch watch = new PlatformWatch(this, context, key, listener);
        watches.add(watch);
        watch.start();
        return () -> {
            watch.cancel();
            watches.remove(watch);
        };
    }

    @Override
    public boolean reachable() {
        return reachable;
    }

    /** Reserves a call and returns the time to wait before it, or -1 when the call budget is exhausted. */
    long reserveCall() {
        long waitMillis = budget.reserveMillis(context.timers().monotonicMillis(), timeoutMillis);
        if (waitMillis < 0) {
            refusedByBudget.inc();
        } else {
            calls.inc();
        }
        return waitMillis;
    }

    Request newRequest(String path, ObjectNode body) {
        try {
            return http.newRequest(baseUrl + path)
                    .method(HttpMethod.POST)
                    .body(new BytesRequestContent("application/json", GatewayJson.bytes(body)));
        } catch (IOException e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the request cannot be serialized as JSON", e);
        }
    }

    // Truncates the text, because Jetty's messages can contain the whole state of a connection.
    static String describe(Throwable failure) {
        String text = String.valueOf(failure);
        return text.length() <= MAX_DETAIL_LENGTH ? text : text.substring(0, MAX_DETAIL_LENGTH) + "...";
    }

    private <T> CompletableFuture<T> call(
            boolean write, String key, String path, ObjectNode body, Function<JsonNode, T> decode) {
        if (closed || !http.isStarted()) {
            return failed(FailureType.PLATFORM_UNAVAILABLE, key, "the platform client is not running", null);
        }
        long waitMillis = reserveCall();
        if (waitMillis < 0) {
            return failed(
                    FailureType.PLATFORM_UNAVAILABLE,
                    key,
                    "the platform call budget of this router is exhausted",
                    null);
        }
        CompletableFuture<T> result = new CompletableFuture<>();
        Runnable send = () -> send(write, key, newRequest(path, body), decode, result);
        try {
            if (waitMillis == 0) {
                send.run();
            } else {
                context.timers().after(waitMillis, send);
            }
        } catch (RejectedExecutionException e) {
            return failed(FailureType.PLATFORM_UNAVAILABLE, key, "this router is shutting down", e);
        }
        return result;
    }

    private <T> void send(
            boolean write, String key, Request request, Function<JsonNode, T> decode, CompletableFuture<T> result) {
        AtomicBoolean begun = new AtomicBoolean();
        Timer.Context time = callTime.time();
        request.timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .onRequestBegin(unused -> begun.set(true))
                .send(new BufferingResponseListener(MAX_RESPONSE_BYTES) {
                    @Override
                    public void onComplete(Result outcome) {
                        time.stop();
                        Futures.complete(
                                result, () -> decodeResponse(write, key, begun.get(), outcome, getContent(), decode));
                    }
                });
    }

    private <T> T decodeResponse(
            boolean write, String key, boolean begun, Result outcome, byte[] content, Function<JsonNode, T> decode) {
        if (outcome.isFailed()) {
            // Jetty reports that a request has begun once it has a connection; before that, nothing was sent.
            FailureType type = write && begun ? FailureType.WRITE_OUTCOME_UNKNOWN : FailureType.PLATFORM_UNAVAILABLE;
            throw recordFailure(type, key, "no response: " + describe(outcome.getFailure()), outcome.getFailure());
        }
        int status = outcome.getResponse().getStatus();
        if (status != HTTP_OK) {
            boolean refused = status / 100 == 4 && !CANCELLED_STATUSES.contains(status);
            FailureType type = write && !refused ? FailureType.WRITE_OUTCOME_UNKNOWN : FailureType.PLATFORM_UNAVAILABLE;
            throw recordFailure(type, key, "status " + status, null);
        }
        try {
            T value = decode.apply(GatewayJson.parse(content));
            reachable = true;
            return value;
        } catch (AgatelaneException e) {
            reachable = true;
            throw e;
        } catch (IOException | RuntimeException e) {
            FailureType type = write ? FailureType.WRITE_OUTCOME_UNKNOWN : FailureType.PLATFORM_UNAVAILABLE;
            throw recordFailure(type, key, "the response cannot be read: " + describe(e), e);
        }
    }

    private AgatelaneException recordFailure(FailureType type, String key, String detail, Throwable cause) {
        reachable = false;
        failures.inc();
        LOG.event("platform_call_failed")
                .with("key", key)
                .with("type", type.code())
                .with("detail", detail)
                .warning();
        return new AgatelaneException(type, "the platform call failed: " + detail, cause).withLocation(key);
    }

    private static <T> CompletableFuture<T> failed(FailureType type, String key, String detail, Throwable cause) {
        return CompletableFuture.failedFuture(new AgatelaneException(type, detail, cause).withLocation(key));
    }

    // An empty list means that no key exists, so requiring the header ensures that the response comes from the gateway.
    private static List<KeyValue> readKeyValues(JsonNode response) {
        requireRevision(response);
        return GatewayJson.keyValues(response);
    }

    private static ObjectNode leaseBody(long leaseId) {
        return GatewayJson.object().put("ID", Long.toString(leaseId));
    }

    private static void requireSwapped(JsonNode response, String key, long expectedRevision) {
        if (!response.path("succeeded").asBoolean(false)) {
            // A transaction response always has a header; without one it does not come from the gateway.
            requireRevision(response);
            throw new AgatelaneException(
                            FailureType.SWAP_LOST, "the revision of " + key + " is not " + expectedRevision)
                    .withLocation(key);
        }
    }

    private static long requireRevision(JsonNode response) {
        long revision = GatewayJson.number(response.path("header").path("revision"));
        if (revision <= 0) {
            throw new IllegalArgumentException("the response has no header with a revision");
        }
        return revision;
    }
}
