package io.agatelane.lab.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.lab.http.BadRequestException;
import io.agatelane.lab.http.Exchange;
import io.agatelane.lab.http.LabServer;
import io.agatelane.lab.http.StreamWriter;
import io.agatelane.lab.platform.KeyValueState.Compare;
import io.agatelane.lab.platform.KeyValueState.LeaseNotFoundException;
import io.agatelane.lab.platform.KeyValueState.TxnResult;
import io.agatelane.lab.platform.KeyValueState.Watch;
import io.agatelane.lab.platform.KeyValueState.Write;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

/** Stand-in for the platform's key-value store: the subset of the etcd v3 JSON gateway that routers use. */
public final class PlatformServer implements AutoCloseable {
    private static final int HISTORY_LIMIT = 20_000;
    private static final int MAX_VALUE_BYTES = 1_048_576;
    private static final long LEASE_CHECK_MILLIS = 50;
    private static final Set<String> READ_PATHS = Set.of("/v3/kv/range", "/v3/watch");

    private final KeyValueState state;
    private final PlatformFaults faults = new PlatformFaults();
    private final Map<String, AtomicLong> counters = new ConcurrentHashMap<>();
    private final Map<StreamWriter, Watch> openWatches = new ConcurrentHashMap<>();
    private final RateLimiter readLimiter = new RateLimiter();
    private final RateLimiter writeLimiter = new RateLimiter();
    private final AtomicLong nextWatchId = new AtomicLong(1);
    private final Map<String, Function<ObjectNode, ObjectNode>> handlersByPath = Map.of(
            "/v3/kv/range", this::range,
            "/v3/kv/put", this::put,
            "/v3/kv/txn", this::txn,
            "/v3/kv/deleterange", this::deleteRange,
            "/v3/lease/grant", this::grantLease,
            "/v3/lease/keepalive", this::keepAlive,
            "/v3/lease/revoke", this::revokeLease);
    private final LabServer server;

    public PlatformServer(InetSocketAddress address) {
        state = new KeyValueState(PlatformServer::nowMillis, HISTORY_LIMIT);
        server = new LabServer(address, this::serve);
    }

    /** Starts to listen. */
    public PlatformServer start() {
        server.start();
        scheduleLeaseCheck();
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
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    private void scheduleLeaseCheck() {
        server.schedule(
                () -> {
                    state.expireLeases();
                    scheduleLeaseCheck();
                },
                LEASE_CHECK_MILLIS);
    }

    private void serve(Exchange exchange) {
        String path = exchange.path();
        if (path.startsWith("/lab/")) {
            serveLab(exchange);
            return;
        }
        count(path);
        if (!faults.outage().equals("off")) {
            count("refusedByOutage");
            if (faults.outage().equals("close")) {
                exchange.close();
            }
            return;
        }
        boolean write = !READ_PATHS.contains(path);
        if (!(write ? writeLimiter : readLimiter).tryAcquire(nowMillis(), faults.ratePerSecond(write))) {
            count("refusedByRate");
            exchange.respond(429, error(8, "etcdserver: too many requests"));
            return;
        }
        if (faults.latencyMillis() > 0) {
            server.schedule(() -> handle(exchange, write), faults.latencyMillis());
        } else {
            handle(exchange, write);
        }
    }

    private void handle(Exchange exchange, boolean write) {
        try {
            if (exchange.path().equals("/v3/watch")) {
                watch(exchange);
                return;
            }
            Function<ObjectNode, ObjectNode> handler = handlersByPath.get(exchange.path());
            if (handler == null) {
                exchange.respond(404, error(5, "Not Found"));
                return;
            }
            ObjectNode result = handler.apply(exchange.json());
            if (write && faults.takeLostResponse()) {
                count("lostReplies");
                exchange.close();
                return;
            }
            exchange.respond(200, result);
        } catch (BadRequestException e) {
            exchange.respond(400, error(3, e.getMessage()));
        } catch (LeaseNotFoundException e) {
            exchange.respond(404, error(5, e.getMessage()));
        }
    }

    private ObjectNode range(ObjectNode request) {
        List<StoredValue> found = state.range(EtcdJson.key(request, "key"), EtcdJson.key(request, "range_end"));
        ObjectNode response = EtcdJson.withHeader(state.revision());
        long limit = EtcdJson.number(request, "limit");
        if (!found.isEmpty() && !request.path("count_only").asBoolean()) {
            ArrayNode kvs = response.putArray("kvs");
            found.stream()
                    .limit(limit == 0 ? Long.MAX_VALUE : limit)
                    .forEach(value ->
                            kvs.add(keyValue(value, request.path("keys_only").asBoolean())));
        }
        if (limit > 0 && found.size() > limit) {
            response.put("more", true);
        }
        EtcdJson.putNumber(response, "count", found.size());
        return response;
    }

    private static ObjectNode keyValue(StoredValue value, boolean keyOnly) {
        ObjectNode node = EtcdJson.keyValue(value);
        if (keyOnly) {
            node.remove("value");
        }
        return node;
    }

    private ObjectNode put(ObjectNode request) {
        TxnResult result = state.txn(List.of(), List.of(writeOf(request)), List.of());
        return EtcdJson.withHeader(result.revision());
    }

    private ObjectNode deleteRange(ObjectNode request) {
        Write write = Write.delete(EtcdJson.key(request, "key"), EtcdJson.key(request, "range_end"));
        TxnResult result = state.txn(List.of(), List.of(write), List.of());
        ObjectNode response = EtcdJson.withHeader(result.revision());
        EtcdJson.putNumber(response, "deleted", result.previous().get(0).size());
        return response;
    }

    private ObjectNode txn(ObjectNode request) {
        List<Compare> compares = new ArrayList<>();
        for (JsonNode node : request.path("compare")) {
            compares.add(compareOf(node));
        }
        // Reads run after the writes of the transaction, which gives the same result while no key is both read and
        // written.
        TxnResult result = state.txn(compares, writesOf(request.path("success")), writesOf(request.path("failure")));
        ObjectNode response = EtcdJson.withHeader(result.revision());
        if (result.succeeded()) {
            response.put("succeeded", true);
        }
        ArrayNode responses = response.putArray("responses");
        int writeIndex = 0;
        for (JsonNode operation : request.path(result.succeeded() ? "success" : "failure")) {
            ObjectNode item = responses.addObject();
            if (operation.has("request_range")) {
                item.set("response_range", range((ObjectNode) operation.get("request_range")));
            } else if (operation.has("request_put")) {
                writeIndex++;
                item.set("response_put", EtcdJson.withHeader(result.revision()));
            } else {
                ObjectNode deleted = EtcdJson.withHeader(result.revision());
                EtcdJson.putNumber(
                        deleted, "deleted", result.previous().get(writeIndex++).size());
                item.set("response_delete_range", deleted);
            }
        }
        return response;
    }

    private static Compare compareOf(JsonNode node) {
        boolean onRevision = node.path("target").asText("VERSION").equals("MOD")
                && node.path("result").asText("EQUAL").equals("EQUAL");
        if (!onRevision) {
            throw new BadRequestException("only the compare target MOD with the result EQUAL is supported");
        }
        return new Compare(EtcdJson.key(node, "key"), EtcdJson.number(node, "mod_revision"));
    }

    private static List<Write> writesOf(JsonNode operations) {
        List<Write> list = new ArrayList<>();
        for (JsonNode operation : operations) {
            if (operation.has("request_put")) {
                list.add(writeOf(operation.get("request_put")));
            } else if (operation.has("request_delete_range")) {
                JsonNode delete = operation.get("request_delete_range");
                list.add(Write.delete(EtcdJson.key(delete, "key"), EtcdJson.key(delete, "range_end")));
            } else if (!operation.has("request_range")) {
                throw new BadRequestException("unknown operation in a transaction: " + operation);
            }
        }
        return list;
    }

    private static Write writeOf(JsonNode request) {
        byte[] value = EtcdJson.bytes(request, "value");
        if (value.length > MAX_VALUE_BYTES) {
            throw new BadRequestException("etcdserver: request is too large");
        }
        String key = EtcdJson.key(request, "key");
        if (key.isEmpty()) {
            throw new BadRequestException("etcdserver: key is not provided");
        }
        return Write.put(key, value, EtcdJson.number(request, "lease"));
    }

    private ObjectNode grantLease(ObjectNode request) {
        long ttlSeconds = Math.max(1, EtcdJson.number(request, "TTL"));
        long id = state.grantLease(EtcdJson.number(request, "ID"), ttlSeconds);
        return EtcdJson.withHeader(state.revision())
                .put("ID", Long.toString(id))
                .put("TTL", Long.toString(ttlSeconds));
    }

    private ObjectNode keepAlive(ObjectNode request) {
        long id = EtcdJson.number(request, "ID");
        long ttlSeconds = state.renewLease(id);
        ObjectNode result = EtcdJson.withHeader(state.revision()).put("ID", Long.toString(id));
        EtcdJson.putNumber(result, "TTL", ttlSeconds);
        return JsonNodeFactory.instance.objectNode().set("result", result);
    }

    private ObjectNode revokeLease(ObjectNode request) {
        if (!state.revokeLease(EtcdJson.number(request, "ID"))) {
            throw new LeaseNotFoundException();
        }
        return EtcdJson.withHeader(state.revision());
    }

    private void watch(Exchange exchange) {
        JsonNode request = exchange.json().path("create_request");
        String id = Long.toString(nextWatchId.getAndIncrement());
        AtomicReference<StreamWriter> writerReference = new AtomicReference<>();
        Watch watch =
                new Watch(EtcdJson.key(request, "key"), EtcdJson.key(request, "range_end"), value -> writerReference
                        .get()
                        .send(line(watchResult(id, value))));
        StreamWriter writer = exchange.stream(200, "application/json");
        writerReference.set(writer);
        openWatches.put(writer, watch);
        writer.onFailure(() -> {
            openWatches.remove(writer);
            state.unwatch(watch);
        });
        ObjectNode created = EtcdJson.withHeader(state.revision());
        writer.send(line(created.put("watch_id", id).put("created", true)));
        long compacted = state.watch(watch, EtcdJson.number(request, "start_revision"));
        if (compacted > 0) {
            ObjectNode canceled = EtcdJson.withHeader(state.revision());
            writer.send(line(canceled.put("watch_id", id)
                    .put("canceled", true)
                    .put("compact_revision", Long.toString(compacted))));
            openWatches.remove(writer);
            writer.end();
        }
    }

    private static ObjectNode watchResult(String id, StoredValue value) {
        ObjectNode result = EtcdJson.withHeader(value.modRevision()).put("watch_id", id);
        ObjectNode event = result.putArray("events").addObject();
        // The gateway omits the type of a put because its enum value is zero.
        if (value.isDeletion()) {
            event.put("type", "DELETE");
        }
        event.set("kv", EtcdJson.keyValue(value));
        return result;
    }

    private static String line(ObjectNode result) {
        return JsonNodeFactory.instance.objectNode().set("result", result).toString() + "\n";
    }

    private void serveLab(Exchange exchange) {
        switch (exchange.path()) {
            case "/lab/faults" -> {
                if (exchange.method().equals("PUT")) {
                    faults.apply(exchange.json());
                    if (!faults.outage().equals("off")) {
                        dropWatches();
                    }
                }
                exchange.respond(200, faults.toJson());
            }
            case "/lab/counters" -> exchange.respond(200, countersJson());
            case "/lab/backup" -> exchange.respond(200, backup());
            case "/lab/restore" -> {
                restore(exchange.json());
                dropWatches();
                exchange.respond(200, JsonNodeFactory.instance.objectNode());
            }
            default -> exchange.respond(404, error(5, "Not Found"));
        }
    }

    private void dropWatches() {
        openWatches.forEach((writer, watch) -> {
            openWatches.remove(writer);
            state.unwatch(watch);
            writer.abort();
        });
    }

    private ObjectNode countersJson() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        counters.forEach((name, count) -> node.put(name, count.get()));
        return node.put("openWatches", openWatches.size()).put("revision", state.revision());
    }

    private ObjectNode backup() {
        ObjectNode node = JsonNodeFactory.instance.objectNode().put("revision", Long.toString(state.revision()));
        ArrayNode kvs = node.putArray("kvs");
        state.all().forEach(value -> kvs.add(EtcdJson.keyValue(value)));
        return node;
    }

    private void restore(ObjectNode backup) {
        List<StoredValue> values = new ArrayList<>();
        for (JsonNode kv : backup.path("kvs")) {
            values.add(new StoredValue(
                    EtcdJson.key(kv, "key"),
                    Base64.getDecoder().decode(kv.path("value").asText("")),
                    EtcdJson.number(kv, "create_revision"),
                    EtcdJson.number(kv, "mod_revision"),
                    EtcdJson.number(kv, "version"),
                    EtcdJson.number(kv, "lease")));
        }
        state.restore(values, EtcdJson.number(backup, "revision"));
    }

    private void count(String name) {
        counters.computeIfAbsent(name, key -> new AtomicLong()).incrementAndGet();
    }

    private static ObjectNode error(int code, String message) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("error", message)
                .put("code", code)
                .put("message", message);
    }
}
