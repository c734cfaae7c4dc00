import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: items, pages, transactions and leases, as the pages describe them. */
final class Store implements AutoCloseable {
    static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int PAGE_ITEMS = 500;
    private static final long ANSWER_MILLIS = 4;

    private record Item(byte[] value, long revision, long created, long lease) {}

    private record Lease(long lifetimeMillis, long endsNanos) {}

    private final Record record;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Http.Server server;
    private long revision = 400;

    Store(Record record) throws IOException {
        this.record = record;
        this.server = new Http.Server(this::handle);
    }

    String address() {
        return server.address();
    }

    /** Writes an item as the operator, a worker or another writer does. */
    synchronized void put(String key, byte[] value) {
        expire();
        Item known = items.get(key);
        long now = ++revision;
        items.put(key, new Item(value, now, known == null ? now : known.created(), 0));
    }

    void put(String key, String value) {
        put(key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void remove(String key) {
        items.remove(key);
        revision++;
    }

    private void expire() {
        long now = System.nanoTime();
        leases.entrySet().removeIf(entry -> entry.getValue().endsNanos() <= now);
        if (items.values().removeIf(item -> item.lease() != 0 && !leases.containsKey(item.lease()))) {
            revision++;
        }
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        Thread.sleep(ANSWER_MILLIS);
        ObjectNode body = MAPPER.createObjectNode();
        int status;
        synchronized (this) {
            expire();
            status = execute(request, body);
        }
        Http.respond(out, status, "Content-Type: application/json\r\n", MAPPER.writeValueAsBytes(body));
        return true;
    }

    private int execute(Http.Message request, ObjectNode body) throws IOException {
        String[] target = request.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
            }
        }
        String path = target[0];
        if (path.equals("/api/kv-key")) {
            Item item = items.get(query.get("key"));
            body.put("asOf", revision);
            if (item == null) {
                return 404;
            }
            describe(body, query.get("key"), item);
            return 200;
        }
        if (path.equals("/api/kv-range")) {
            return range(query.getOrDefault("pathPrefix", ""), query.getOrDefault("after", ""), body);
        }
        if (path.equals("/api/kv-txn")) {
            return transaction(MAPPER.readTree(request.body), body);
        }
        if (path.equals("/api/kv-lease")) {
            long lifetime = MAPPER.readTree(request.body).path("lifetimeMs").asLong();
            long id = ++revision;
            leases.put(id, new Lease(lifetime, System.nanoTime() + lifetime * 1_000_000));
            body.put("lease", id).put("lifetimeMs", lifetime);
            return 200;
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Lease lease = leases.get(id);
        if (path.startsWith("/api/kv-lease-end/")) {
            leases.remove(id);
            expire();
            return lease == null ? 404 : 200;
        }
        if (path.startsWith("/api/kv-keep/") && lease != null) {
            leases.put(id, new Lease(lease.lifetimeMillis(), System.nanoTime() + lease.lifetimeMillis() * 1_000_000));
            body.put("lifetimeMs", lease.lifetimeMillis());
            return 200;
        }
        return 404;
    }

    private static void describe(ObjectNode node, String key, Item item) {
        node.put("key", key)
                .put("value", Base64.getEncoder().encodeToString(item.value()))
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private int range(String prefix, String after, ObjectNode body) {
        ArrayNode page = body.putArray("items");
        boolean truncated = false;
        for (Map.Entry<String, Item> entry : items.tailMap(after, false).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                continue;
            }
            if (page.size() == PAGE_ITEMS) {
                truncated = true;
                break;
            }
            describe(page.addObject(), entry.getKey(), entry.getValue());
        }
        body.put("truncated", truncated).put("asOf", revision);
        return 200;
    }

    private int transaction(JsonNode call, ObjectNode body) {
        boolean holds = true;
        ArrayNode current = MAPPER.createArrayNode();
        for (JsonNode condition : call.path("precondition")) {
            String key = condition.path("key").asText();
            Item item = items.get(key);
            holds &= (item == null ? 0 : item.revision()) == condition.path("revision").asLong();
            if (item != null) {
                describe(current.addObject(), key, item);
            }
        }
        if (!holds) {
            body.set("items", current);
            return 412;
        }
        for (JsonNode write : call.path("setKeys")) {
            long lease = write.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
        }
        long now = ++revision;
        for (JsonNode write : call.path("setKeys")) {
            String key = write.path("key").asText();
            Item known = items.get(key);
            byte[] value = Base64.getDecoder().decode(write.path("value").asText());
            items.put(key, new Item(value, now, known == null ? now : known.created(), write.path("lease").asLong()));
            record.line("store: " + key + " = " + new String(value, StandardCharsets.UTF_8) + " at revision " + now);
        }
        call.path("remove").forEach(key -> items.remove(key.asText()));
        body.put("revision", now);
        return 200;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
