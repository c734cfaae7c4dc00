package io.agatelane.node.io.service;

import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.model.Operation;
import io.agatelane.core.model.Service;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.PeerTransport;
import io.agatelane.node.fakes.FakeConfigView;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeMembership;
import io.agatelane.node.fakes.FakePeerNetwork;
import io.agatelane.node.fakes.FakeRouterControl;
import io.agatelane.node.fakes.NodeContexts;
import io.agatelane.wire.peer.PeerFrame;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** The booking components of one router on fakes; a test can pause or kill it. */
final class BookingRouter {
    static final Operation RENEW = new Operation("POST", "/renewals", false);
    static final Service SERVICE = new Service("permits", "permits", List.of(RENEW), "/status/{key}", 5_000);

    final String name;
    final FakeMembership membership;
    final FakeRouterControl control;
    private final BookingOwner owner;
    private final BookingClient client;
    private final Function<ServiceRequest, CompletableFuture<ServiceResponse>> calls;
    private final Map<String, CompletableFuture<ServiceResponse>> pendingCalls = new HashMap<>();

    BookingRouter(
            String name,
            long incarnation,
            FakeControl shared,
            FakePeerNetwork network,
            KeyValueStore store,
            FakePermits permits,
            FakeMembership membership) {
        this.name = name;
        this.membership = membership;
        this.control = new FakeRouterControl(shared);
        FakeConfigView config = new FakeConfigView();
        config.set(ConfigSnapshot.builder().add(SERVICE).build());
        NodeContext base = NodeContexts.context(name, incarnation, shared);
        NodeContext context = new NodeContext(base.settings(), incarnation, control, control, base.metrics());
        PeerTransport peers = new ControlledPeers(network.attach(name));
        owner = new BookingOwner(
                context, config, membership, peers, new PartitionStore(store), (service, key) -> permits.status(key));
        client = new BookingClient(context, membership, peers);
        calls = new BookedCalls(context, permits, client)::run;
        client.start();
        owner.start();
    }

    /** Returns a booked call with the given request id and idempotency key. */
    static ServiceRequest request(String requestId, String key) {
        return new ServiceRequest(
                requestId, "aargau", SERVICE, RENEW, "/renewals", Map.of(), key, new RequestBody(new byte[] {1}));
    }

    /** Runs a call, which fails at once when the router is killed. */
    CompletableFuture<ServiceResponse> call(ServiceRequest request) {
        CompletableFuture<ServiceResponse> result = new CompletableFuture<>();
        pendingCalls.put(request.requestId(), result);
        Completion.then(calls.apply(request), (response, failure) -> {
            pendingCalls.remove(request.requestId());
            if (failure == null) {
                result.complete(response);
            } else {
                result.completeExceptionally(failure);
            }
        });
        return result;
    }

    int unrecordedCount() {
        return client.unrecordedCount();
    }

    void kill() {
        control.kill();
        owner.stop();
        List.copyOf(pendingCalls.values())
                .forEach(pendingCall -> pendingCall.completeExceptionally(new IllegalStateException("killed")));
        pendingCalls.clear();
    }

    /** Runs handlers on this router's control thread, so that a paused router does not respond to any request. */
    private final class ControlledPeers implements PeerTransport {
        private final PeerTransport inner;

        private ControlledPeers(PeerTransport inner) {
            this.inner = inner;
        }

        @Override
        public CompletableFuture<PeerFrame> request(String vmName, PeerFrame frame, long timeoutMillis) {
            return inner.request(vmName, frame, timeoutMillis);
        }

        @Override
        public void onRequest(PeerFrame.BodyCase kind, Handler handler) {
            inner.onRequest(kind, (from, frame) -> {
                CompletableFuture<PeerFrame> result = new CompletableFuture<>();
                control.execute(() -> Completion.then(handler.handle(from, frame), (response, failure) -> {
                    if (failure == null) {
                        result.complete(response);
                    } else {
                        result.completeExceptionally(failure);
                    }
                }));
                return result;
            });
        }
    }
}
