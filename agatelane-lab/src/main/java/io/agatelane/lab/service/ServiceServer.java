package io.agatelane.lab.service;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.lab.http.Exchange;
import io.agatelane.lab.http.LabClient;
import io.agatelane.lab.http.LabServer;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Stand-in for a plain service: counts the executions of each idempotency key and confirms each execution.
 *
 * <p>It does not remove duplicates, so that its counts reveal a router that sends a call twice.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Each result is written to its exchange.
public final class ServiceServer implements AutoCloseable {
    private static final String STATUS_PATH = "/status/";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String FORWARDED_HEADER = "X-Lab-Forwarded";
    private static final int SLOTS = 64;
    private static final long PEER_TIMEOUT_MILLIS = 1_000;

    private final String name;
    private final List<String> peers;
    private final LabServer server;
    private final LabClient client = new LabClient();
    private final Map<String, Integer> executions = new LinkedHashMap<>();
    private final Map<String, ObjectNode> confirmations = new LinkedHashMap<>();
    private final AtomicInteger running = new AtomicInteger();
    private final ServiceFaults faults = new ServiceFaults();
    private long nextSerial = 1;

    public ServiceServer(InetSocketAddress address, String name, List<String> peers) {
        this.name = name;
        this.peers = List.copyOf(peers);
        this.server = new LabServer(address, this::serve);
    }

    /** Starts to listen. */
    public ServiceServer start() {
        server.start();
        return this;
    }

    public String url() {
        return server.url();
    }

    public void join() throws InterruptedException {
        server.join();
    }

    @Override
    public void close() {
        server.close();
        client.close();
    }

    private void serve(Exchange exchange) {
        if (exchange.path().startsWith("/lab/")) {
            serveLab(exchange);
            return;
        }
        if (exchange.path().equals("/executions")) {
            exchange.respond(200, executionsJson());
            return;
        }
        long frozenMillis = faults.frozenMillis(nowMillis());
        if (frozenMillis > 0) {
            server.schedule(() -> serve(exchange), frozenMillis);
            return;
        }
        if (exchange.method().equals("POST")) {
            running.incrementAndGet();
            runAfter(faults.delayBeforeMillis(), () -> execute(exchange));
        } else if (exchange.path().equals("/load")) {
            exchange.respond(
                    200,
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("running", running.get())
                            .put("waiting", 0)
                            .put("slots", SLOTS));
        } else if (exchange.path().startsWith(STATUS_PATH)) {
            serveStatus(exchange, exchange.path().substring(STATUS_PATH.length()));
        } else {
            exchange.respondError(404, "not_found", "no such path: " + exchange.path());
        }
    }

    private void execute(Exchange exchange) {
        ObjectNode confirmation = recordExecution(exchange.header(IDEMPOTENCY_KEY_HEADER), exchange.path());
        if (faults.takeCloseAfter()) {
            running.decrementAndGet();
            exchange.close();
            return;
        }
        runAfter(faults.delayAfterMillis(), () -> {
            running.decrementAndGet();
            exchange.withHeader("X-Request-Id", exchange.header("X-Request-Id"));
            exchange.respond(200, confirmation);
        });
    }

    private synchronized ObjectNode recordExecution(String key, String path) {
        executions.merge(key, 1, Integer::sum);
        ObjectNode confirmation = JsonNodeFactory.instance
                .objectNode()
                .put("key", key)
                .put("serial", name + "-" + nextSerial++)
                .put("path", path)
                .put("status", "recorded");
        confirmations.putIfAbsent(key, confirmation);
        return confirmation;
    }

    private void serveStatus(Exchange exchange, String key) {
        ObjectNode own = confirmation(key);
        if (own != null) {
            exchange.respond(200, own);
        } else if (peers.isEmpty() || !exchange.header(FORWARDED_HEADER).isEmpty()) {
            exchange.respondError(404, "not_run", "no execution with this key");
        } else {
            queryPeers(exchange, key);
        }
    }

    private void queryPeers(Exchange exchange, String key) {
        List<CompletableFuture<LabClient.LabResponse>> responses = peers.stream()
                .map(peer -> client.call(
                        HttpMethod.GET,
                        peer + STATUS_PATH + key,
                        null,
                        Map.of(FORWARDED_HEADER, name),
                        PEER_TIMEOUT_MILLIS))
                .toList();
        CompletableFuture.allOf(responses.toArray(CompletableFuture[]::new)).handle((done, failure) -> {
            for (CompletableFuture<LabClient.LabResponse> response : responses) {
                if (!response.isCompletedExceptionally() && response.join().status() == 200) {
                    exchange.respond(200, response.join().json());
                    return null;
                }
            }
            if (failure == null) {
                exchange.respondError(404, "not_run", "no execution with this key");
            } else {
                // A 404 would state that the call did not run, but an instance that may have run it is unreachable.
                exchange.respondError(503, "peer_unreachable", "another instance of the service could not be reached");
            }
            return null;
        });
    }

    private synchronized ObjectNode confirmation(String key) {
        return confirmations.get(key);
    }

    private synchronized ObjectNode executionsJson() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        executions.forEach(node::put);
        return node;
    }

    private void serveLab(Exchange exchange) {
        switch (exchange.path()) {
            case "/lab/faults" -> {
                ObjectNode change = exchange.json();
                exchange.respond(200, faults.apply(change, nowMillis()));
                if (change.has("crash")) {
                    running.set(0);
                    // Executions survive a crash: the stand-in simulates a service with a database.
                    server.crash(Math.max(1, change.path("crash").asLong(1_000)), () -> {});
                }
            }
            case "/lab/counters" -> exchange.respond(
                    200,
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("running", running.get())
                            .put("keys", executionsJson().size()));
            default -> exchange.respondError(404, "not_found", "no such path: " + exchange.path());
        }
    }

    private void runAfter(long delayMillis, Runnable task) {
        if (delayMillis > 0) {
            server.schedule(task, delayMillis);
        } else {
            task.run();
        }
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }
}
