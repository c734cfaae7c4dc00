package io.agatelane.node.fakes;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.PeerTransport;
import io.agatelane.wire.peer.PeerFrame;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * In-memory transport for requests between the routers of one test, with latency, links that are cut in one direction,
 * and lost responses.
 */
public final class FakePeerNetwork {
    private final FakeControl control;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private long latencyMillis = 1;

    public FakePeerNetwork(FakeControl control) {
        this.control = control;
    }

    /** One-way latency. */
    public void setLatencyMillis(long millis) {
        this.latencyMillis = millis;
    }

    /** Drops all frames in one direction. */
    public void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    /** Restores a direction that was cut. */
    public void heal(String from, String to) {
        cuts.remove(from + ">" + to);
    }

    /** Returns the transport of a router; a new one after a restart replaces the old one. */
    public PeerTransport attach(String vmName) {
        Endpoint endpoint = new Endpoint(vmName);
        endpoints.put(vmName, endpoint);
        return endpoint;
    }

    /** Removes a crashed router. */
    public void detach(String vmName) {
        endpoints.remove(vmName);
    }

    private boolean delivers(String from, String to) {
        return !cuts.contains(from + ">" + to) && endpoints.containsKey(to);
    }

    private final class Endpoint implements PeerTransport {
        private final String vmName;
        private final Map<PeerFrame.BodyCase, Handler> handlers = new EnumMap<>(PeerFrame.BodyCase.class);

        private Endpoint(String vmName) {
            this.vmName = vmName;
        }

        @Override
        public CompletableFuture<PeerFrame> request(String target, PeerFrame frame, long timeoutMillis) {
            CompletableFuture<PeerFrame> result = new CompletableFuture<>();
            control.after(
                    timeoutMillis,
                    () -> result.completeExceptionally(
                            new AgatelaneException(FailureType.PEER_UNREACHABLE, "no response from " + target)));
            control.after(latencyMillis, () -> deliver(target, frame, result));
            return result;
        }

        @Override
        public void onRequest(PeerFrame.BodyCase kind, Handler handler) {
            handlers.put(kind, handler);
        }

        private void deliver(String target, PeerFrame frame, CompletableFuture<PeerFrame> result) {
            if (!delivers(vmName, target)) {
                return;
            }
            Handler handler = endpoints.get(target).handlers.get(frame.getBodyCase());
            if (handler == null) {
                return;
            }
            handler.handle(vmName, frame)
                    .whenComplete((response, failure) -> control.after(latencyMillis, () -> {
                        if (!delivers(target, vmName)) {
                            return;
                        }
                        if (failure == null) {
                            result.complete(response);
                        } else {
                            result.completeExceptionally(AgatelaneException.from(failure));
                        }
                    }));
        }
    }
}
