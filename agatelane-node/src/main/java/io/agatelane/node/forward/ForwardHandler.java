package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.FleetAccount;
import io.agatelane.core.fleet.FleetConfig;
import io.agatelane.core.fleet.Route;
import io.agatelane.core.limits.ByteBudget;
import io.agatelane.node.api.CallerRequest;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.fleet.FleetSnapshot;
import io.agatelane.node.io.http.RequestDiscarder;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Receives callers' requests, checks them against the configuration and starts to forward them. */
public final class ForwardHandler extends Handler.Abstract.NonBlocking {
    private static final String UNKNOWN_ID = "none";
    // Body limit while no configuration is known.
    private static final int DEFAULT_BODY_BYTES = 4 << 20;
    // A router without a configuration reads the store several times a second.
    private static final long NO_CONFIG_RETRY_MILLIS = 300;
    // Time for a caller to send the rest of a body that was refused.
    private static final long MAX_DISCARD_MILLIS = 5_000;
    // Time for a body whose request states no deadline.
    private static final long MAX_BODY_MILLIS = 30_000;

    private static final byte[] NO_BYTES = new byte[0];

    private final ForwardContext context;
    private final HeldBodies bodies;
    private final Set<UnfinishedRequest> unfinished = ConcurrentHashMap.newKeySet();

    public ForwardHandler(ForwardContext context) {
        this.context = context;
        this.bodies =
                new HeldBodies(context.settings().heldBytes().requestBytes(), context.timers(), context.metrics());
    }

    /** Number of requests that have no complete response yet. */
    public int inFlight() {
        return unfinished.size();
    }

    /** Refuses the requests that no upstream has got and that cannot be finished before the process ends. */
    public void refuseUnstarted() {
        unfinished.forEach(UnfinishedRequest::refuseUnlessStarted);
    }

    /** Gives all requests their final response, because the process ends. */
    public void endAll() {
        unfinished.forEach(UnfinishedRequest::end);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        long arrivedMillis = context.timers().monotonicMillis();
        UnfinishedRequest entry = new UnfinishedRequest();
        unfinished.add(entry);
        ByteBudget.Reservation reservation = bodies.open();
        Callback counted = Callback.from(callback, () -> {
            unfinished.remove(entry);
            bodies.release(reservation);
        });
        if (context.shutdown().isRefusing()) {
            refuse(request, response, discarding(request, counted), Shutdown.refusal());
            return true;
        }
        int maxBytes = context.state()
                .snapshot()
                .config()
                .map(config -> config.limits().bodyBytes())
                .orElse(DEFAULT_BODY_BYTES);
        CompletableFuture<byte[]> read = bodies.read(request, maxBytes, reservation);
        CompletableFuture<byte[]> received = read.copy();
        entry.receives(received);
        limitTime(received, request);
        var unused = received.handle((body, thrown) -> {
            if (thrown == null) {
                begin(request, response, counted, body, arrivedMillis, entry);
            } else {
                AgatelaneException failure = readFailure(thrown);
                refuse(request, response, afterBody(request, read, counted, failure), failure);
            }
            return null;
        });
        return true;
    }

    private AgatelaneException readFailure(Throwable thrown) {
        AgatelaneException failure = AgatelaneException.from(thrown);
        return failure.type() == FailureType.NO_MEMORY ? bodies.withRetryAfter(failure) : failure;
    }

    // A request that arrives only after its deadline need not run; each byte of it starts the idle time-out again.
    private void limitTime(CompletableFuture<byte[]> received, Request request) {
        if (received.isDone()) {
            return;
        }
        long maxMillis = deadlineMillis(request);
        Subscription timer = context.timers()
                .after(
                        maxMillis,
                        () -> received.completeExceptionally(new AgatelaneException(
                                FailureType.REQUEST_TIMEOUT, "the body has not arrived within " + maxMillis + " ms")));
        var unused = received.whenComplete((body, thrown) -> timer.cancel());
    }

    private long deadlineMillis(Request request) {
        try {
            return context.ports()
                    .callerProtocol()
                    .decode(request.getHeaders())
                    .deadlineMillis()
                    .orElse(MAX_BODY_MILLIS);
        } catch (AgatelaneException e) {
            // The request is refused for this header as soon as its body is complete.
            return MAX_BODY_MILLIS;
        }
    }

    private void begin(
            Request request,
            Response response,
            Callback callback,
            byte[] body,
            long arrivedMillis,
            UnfinishedRequest entry) {
        try {
            if (context.shutdown().isRefusing()) {
                throw Shutdown.refusal();
            }
            CallerRequest caller = context.ports().callerProtocol().decode(request.getHeaders());
            FleetSnapshot snapshot = context.state().snapshot();
            FleetConfig config = snapshot.config().orElseThrow(() -> new AgatelaneException(
                            FailureType.PLATFORM_UNAVAILABLE, "no configuration has been read from the store yet")
                    .withRetryAfterMillis(NO_CONFIG_RETRY_MILLIS));
            Route route = route(config, request);
            Optional<FleetAccount> account = account(config, route, caller);
            ForwardCall call =
                    new ForwardCall(context, request, response, callback, caller, route, account, body, arrivedMillis);
            call.start();
            entry.isForwardedBy(call);
        } catch (RuntimeException | OutOfMemoryError e) {
            refuse(request, response, callback, AgatelaneException.from(e));
        }
    }

    private static Route route(FleetConfig config, Request request) {
        String host =
                Optional.ofNullable(request.getHeaders().get(HttpHeader.HOST)).orElse("");
        String path = Optional.ofNullable(request.getHttpURI().getPath()).orElse("/");
        return config.route(host, path)
                .orElseThrow(
                        () -> new AgatelaneException(FailureType.NOT_FOUND, "no route matches " + host + " " + path));
    }

    private static Optional<FleetAccount> account(FleetConfig config, Route route, CallerRequest caller) {
        Optional<FleetAccount> account = caller.apiKey().flatMap(config::accountOf);
        if (account.isEmpty() && config.requiresApiKey() && !route.isPublic()) {
            throw new AgatelaneException(FailureType.UNAUTHENTICATED, "the API key is missing or unknown");
        }
        return account;
    }

    // The caller gets the response before the close.
    private Callback afterBody(
            Request request, CompletableFuture<byte[]> read, Callback callback, AgatelaneException failure) {
        return switch (failure.type()) {
            case BODY_TOO_LARGE, NO_MEMORY -> discarding(request, callback);
            case REQUEST_TIMEOUT -> Callback.from(() -> awaitEnd(read, callback), callback::failed);
            default -> callback;
        };
    }

    // The body is still being read, up to its end or its limit.
    private void awaitEnd(CompletableFuture<byte[]> read, Callback callback) {
        CompletableFuture<byte[]> ended = read.copy();
        Subscription timer = context.timers().after(MAX_DISCARD_MILLIS, () -> ended.complete(NO_BYTES));
        var unused = ended.whenComplete((body, thrown) -> {
            timer.cancel();
            callback.succeeded();
        });
    }

    // The rest of a body that is not taken is discarded, so that the caller gets the response before the close.
    private Callback discarding(Request request, Callback callback) {
        return Callback.from(
                () -> RequestDiscarder.discard(request, context.timers(), MAX_DISCARD_MILLIS, callback),
                callback::failed);
    }

    private void refuse(Request request, Response response, Callback callback, AgatelaneException failure) {
        String id =
                context.ports().callerProtocol().requestId(request.getHeaders()).orElse(UNKNOWN_ID);
        RouterResponses.writeFailure(context, response, callback, failure, id);
        ForwardLog.refused(context, request, id, failure);
    }
}
