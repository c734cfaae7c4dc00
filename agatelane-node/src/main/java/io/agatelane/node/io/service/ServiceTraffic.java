package io.agatelane.node.io.service;

import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.model.Service;
import io.agatelane.node.api.ConfigView;
import io.agatelane.node.api.Drainable;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.PeerTransport;
import io.agatelane.node.io.http.Authenticator;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.server.Handler;

/** Serves callers' calls of plain services: forwards repeatable calls, and books calls that run at most once. */
public final class ServiceTraffic implements Drainable, AutoCloseable {
    private static final long STATUS_TIMEOUT_MILLIS = 2_000;

    private final ServiceClient client;
    private final InstancePool pool;
    private final BookingOwner owner;
    private final BookingClient bookings;
    private final ServiceHandler handler;
    private final NodeContext context;
    private final List<CompletableFuture<Void>> drainWaiters = new ArrayList<>();

    /** Creates and connects the components; nothing runs before {@link #start}. */
    public ServiceTraffic(
            NodeContext context,
            ConfigView config,
            MembershipView membership,
            PeerTransport peers,
            KeyValueStore store,
            Authenticator authenticator) {
        this.context = context;
        this.client = new ServiceClient(context);
        this.pool = new InstancePool(context, config, client);
        this.owner = new BookingOwner(context, config, membership, peers, new PartitionStore(store), this::queryStatus);
        this.bookings = new BookingClient(context, membership, peers);
        BookedCalls booked = new BookedCalls(context, new HttpInstanceCalls(pool, client), bookings);
        RepeatableCalls repeatable = new RepeatableCalls(context, pool, client);
        this.handler = new ServiceHandler(context, config, authenticator, repeatable, booked);
        this.handler.onIdle(this::checkDrained);
        this.bookings.onRecorded(this::checkDrained);
    }

    /** Starts the HTTP client, responds to other routers and reads the partitions that this router owns. */
    public void start() {
        client.start();
        bookings.start();
        owner.start();
        pool.start();
    }

    /** Returns the handler of requests below {@code /services/}; it leaves all others to other handlers. */
    public Handler handler() {
        return handler;
    }

    @Override
    public void refuseNewRequests() {
        handler.refuseNew();
    }

    @Override
    public CompletableFuture<Void> drained() {
        CompletableFuture<Void> waiter = new CompletableFuture<>();
        context.control().execute(() -> {
            drainWaiters.add(waiter);
            checkDrained();
        });
        return waiter;
    }

    @Override
    public void close() {
        pool.stop();
        owner.stop();
        client.close();
    }

    private void checkDrained() {
        context.control().execute(() -> {
            if (handler.runningRequests() == 0 && bookings.unrecordedCount() == 0) {
                drainWaiters.forEach(waiter -> waiter.complete(null));
                drainWaiters.clear();
            }
        });
    }

    // Queries whether the call with this key ran. Only a successful response proves it, since a call that the service
    // does not know may still arrive.
    private CompletableFuture<Optional<ServiceResponse>> queryStatus(Service service, String idempotencyKey) {
        Optional<ServiceInstance> instance = pool.choose(service.name(), Set.of());
        if (instance.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        String target = service.statusPath()
                .replace(
                        "{key}",
                        URLEncoder.encode(idempotencyKey, StandardCharsets.UTF_8)
                                .replace("+", "%20"));
        Map<String, String> headers = Map.of("Idempotency-Key", idempotencyKey);
        return client.get(instance.get().baseUrl, target, headers, STATUS_TIMEOUT_MILLIS)
                .thenApply(response ->
                        response.status() / 100 == 2 ? Optional.of(response) : Optional.<ServiceResponse>empty());
    }
}
