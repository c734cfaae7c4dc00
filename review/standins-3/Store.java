import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store. Each router gets a door (a port) of its own. */
final class Store {
    static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_ITEMS = 500;
    private static final int MAX_BYTES = 1_000_000;

    private record Item(byte[] value, long revision, long created, long lease) {}

    private record Lease(long lifetimeMillis, long endsMillis) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Door> doors = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "store");
        thread.setDaemon(true);
        return thread;
    });
    private long revision = 100;
    private long nextLease = 1_000;
    private long era;
    private TreeMap<String, Item> copiedItems;
    private Map<Long, Lease> copiedLeases;
    private long copiedRevision;

    final class Door {
        private final HttpServer server;

        Door() throws IOException {
            server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
            server.setExecutor(threads);
            server.createContext("/", this::handle);
            server.start();
        }

        int port() {
            return server.getAddress().getPort();
        }

        private void handle(HttpExchange exchange) throws IOException {
            try {
                byte[] body;
                try (InputStream in = exchange.getRequestBody()) {
                    body = in.readAllBytes();
                }
                ObjectNode out = MAPPER.createObjectNode();
                int status = carryOut(
                        exchange.getRequestMethod(),
                        exchange.getRequestURI().getPath(),
                        query(exchange.getRequestURI().getRawQuery()),
                        body,
                        out);
                answer(exchange, status, out);
            } finally {
                exchange.close();
            }
        }

        private void answer(HttpExchange exchange, int status, ObjectNode out) throws IOException {
            byte[] bytes = MAPPER.writeValueAsBytes(out);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    /** Creates a store whose answers state an era. */
    Store(long era) {
        this.era = era;
    }

    synchronized Door open() throws IOException {
        Door door = new Door();
        doors.add(door);
        return door;
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> fields = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int at = part.indexOf('=');
                if (at > 0) {
                    fields.put(part.substring(0, at), URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
                }
            }
        }
        return fields;
    }

    private synchronized int carryOut(
            String method, String path, Map<String, String> query, byte[] body, ObjectNode out) throws IOException {
        expire();
        JsonNode in = body.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(body);
        out.put("asOf", revision);
        if (path.equals("/api/kv-key")) {
            Item item = items.get(query.get("key"));
            if (item == null) {
                return 404;
            }
            describe(out, query.get("key"), item);
            return 200;
        }
        if (path.equals("/api/kv-range")) {
            return range(query.getOrDefault("pathPrefix", ""), query.getOrDefault("after", ""), out);
        }
        if (path.equals("/api/kv-txn")) {
            return transact(in, out);
        }
        if (path.equals("/api/kv-lease")) {
            long id = nextLease++;
            long millis = Math.max(1_000, in.path("lifetimeMs").asLong());
            leases.put(id, new Lease(millis, now() + millis));
            out.put("lease", id).put("lifetimeMs", millis);
            return 200;
        }
        if (path.startsWith("/api/kv-keep/")) {
            long id = Long.parseLong(path.substring("/api/kv-keep/".length()));
            Lease lease = leases.get(id);
            if (lease == null) {
                return 404;
            }
            leases.put(id, new Lease(lease.lifetimeMillis(), now() + lease.lifetimeMillis()));
            out.put("lifetimeMs", lease.lifetimeMillis());
            return 200;
        }
        if (path.startsWith("/api/kv-lease-end/")) {
            end(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
            return 200;
        }
        return 404;
    }

    private int range(String prefix, String after, ObjectNode out) {
        ArrayNode list = out.putArray("items");
        int bytes = 0;
        boolean truncated = false;
        for (Map.Entry<String, Item> entry : items.tailMap(after.compareTo(prefix) > 0 ? after : prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().equals(after) && !after.isEmpty()) {
                continue;
            }
            if (list.size() >= MAX_ITEMS || bytes > MAX_BYTES) {
                truncated = true;
                break;
            }
            bytes += entry.getValue().value().length;
            describe(list.addObject(), entry.getKey(), entry.getValue());
        }
        out.put("truncated", truncated);
        return 200;
    }

    private int transact(JsonNode in, ObjectNode out) {
        boolean holds = true;
        for (JsonNode row : in.path("precondition")) {
            Item item = items.get(row.path("key").asText());
            holds &= (item == null ? 0 : item.revision()) == row.path("revision").asLong();
        }
        if (!holds) {
            ArrayNode list = out.putArray("items");
            for (JsonNode row : in.path("precondition")) {
                Item item = items.get(row.path("key").asText());
                if (item != null) {
                    describe(list.addObject(), row.path("key").asText(), item);
                }
            }
            return 412;
        }
        for (JsonNode row : in.path("setKeys")) {
            long lease = row.path("lease").asLong(0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
            if (row.path("key").asText().startsWith("op/") || row.path("key").asText().startsWith("servers/")) {
                return 403;
            }
        }
        for (JsonNode row : in.path("setKeys")) {
            set(row.path("key").asText(), Base64.getDecoder().decode(row.path("value").asText()), row.path("lease").asLong(0));
        }
        for (JsonNode row : in.path("remove")) {
            revision++;
            items.remove(row.asText());
        }
        out.put("revision", revision);
        return 200;
    }

    private static void describe(ObjectNode out, String key, Item item) {
        out.put("key", key);
        out.put("value", Base64.getEncoder().encodeToString(item.value()));
        out.put("revision", item.revision());
        out.put("created", item.created());
        out.put("lease", item.lease());
    }

    private void set(String key, byte[] value, long lease) {
        revision++;
        Item old = items.get(key);
        items.put(key, new Item(value, revision, old == null ? revision : old.created(), lease));
    }

    private void expire() {
        long now = now();
        for (Long id : List.copyOf(leases.keySet())) {
            if (leases.get(id).endsMillis() <= now) {
                end(id);
            }
        }
    }

    private void end(long id) {
        leases.remove(id);
        if (items.values().removeIf(item -> item.lease() == id)) {
            revision++;
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Writes as the operator or as a worker. */
    synchronized void put(String key, JsonNode value) {
        try {
            expire();
            set(key, MAPPER.writeValueAsBytes(value), 0);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
        }
    }

    /** Makes the copy to which a drill goes back. */
    synchronized void makeCopy() {
        expire();
        copiedItems = new TreeMap<>(items);
        copiedLeases = new HashMap<>(leases);
        copiedRevision = revision;
    }

    /** Comes back from the copy: what was written since is gone, leases too. Leases of the copy run on. */
    synchronized void goBack() {
        items.clear();
        items.putAll(copiedItems);
        leases.clear();
        copiedLeases.forEach((id, lease) ->
                leases.put(id, new Lease(lease.lifetimeMillis(), now() + lease.lifetimeMillis())));
        revision = copiedRevision;
        nextLease = copiedLeases.keySet().stream().mapToLong(Long::longValue).max().orElse(999) + 1;
        era++;
    }
}
