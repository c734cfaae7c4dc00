import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, in memory. */
final class Store {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_PAGE_ITEMS = 500;
    private static final long MAX_PAGE_BYTES = 1 << 20;

    private record Item(byte[] value, long revision, long created, long lease) {}

    private record Lease(long ttlMillis, long endsMillis) {}

    /** What the store held at one moment. */
    record Copy(Map<String, Object> items, Map<Long, Object> leases, long revision, long lastLease, long millis) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Listener listener;
    private final Record record;
    private long revision = 100;
    private long lastLease = 1_000;
    private long era = -1;
    private volatile boolean down;
    private volatile long rangeCalls;

    Store(Record record) throws IOException {
        this.record = record;
        listener = new Listener((request, out) -> handle(request, out, Map.of()));
    }

    /** Another address of the store, for a router that reaches the workers by other addresses. */
    String addressFor(Map<String, String> workerAddresses) throws IOException {
        return new Listener((request, out) -> handle(request, out, workerAddresses)).address();
    }

    String address() {
        return listener.address();
    }

    boolean isDown() {
        return down;
    }

    /** Number of calls for a range up to now. */
    long rangeCalls() {
        return rangeCalls;
    }

    /** States an era in all answers from now on. */
    synchronized void startEra(long first) {
        era = first;
    }

    /** Refuses all calls with 503, as a store that is away. */
    void setDown(boolean isDown) {
        down = isDown;
    }

    /** Writes for the operator or a worker; returns when the write is acknowledged. */
    synchronized void put(String key, String value) {
        put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    /** Writes the entry of another writer. */
    synchronized void put(String key, byte[] value) {
        put(key, value, 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
        }
    }

    synchronized boolean has(String key) {
        return items.containsKey(key);
    }

    @SuppressWarnings("unchecked")
    synchronized Copy copy() {
        return new Copy((Map<String, Object>) (Map<?, ?>) new TreeMap<>(items), (Map<Long, Object>) (Map<?, ?>)
                new HashMap<>(leases), revision, lastLease, System.currentTimeMillis());
    }

    /** Goes back to a copy, as a drill does. */
    synchronized void goBackTo(Copy copy) {
        items.clear();
        copy.items().forEach((key, item) -> items.put(key, (Item) item));
        leases.clear();
        long now = System.currentTimeMillis();
        copy.leases().forEach((id, lease) -> leases.put(id, new Lease(
                ((Lease) lease).ttlMillis(), now + ((Lease) lease).ttlMillis())));
        revision = copy.revision();
        lastLease = copy.lastLease();
        era++;
    }

    private void put(String key, byte[] value, long lease) {
        Item known = items.get(key);
        revision++;
        items.put(key, new Item(value, revision, known == null ? revision : known.created(), lease));
    }

    private void expire() {
        long now = System.currentTimeMillis();
        leases.entrySet().removeIf(entry -> {
            boolean ended = entry.getValue().endsMillis() <= now;
            if (ended) {
                removeLeased(entry.getKey());
            }
            return ended;
        });
    }

    private void removeLeased(long lease) {
        if (items.values().removeIf(item -> item.lease() == lease)) {
            revision++;
        }
    }

    private boolean handle(Http.Message request, OutputStream out, Map<String, String> workerAddresses) throws IOException {
        int status;
        ObjectNode body = JSON.createObjectNode();
        Map<String, String> headers = new LinkedHashMap<>();
        synchronized (this) {
            status = down ? 503 : answer(request, body, workerAddresses);
            if (era >= 0) {
                headers.put("Store-Era", Long.toString(era));
            }
        }
        headers.put("Content-Type", "application/json");
        out.write(Http.response(status, headers, JSON.writeValueAsBytes(body)));
        out.flush();
        return true;
    }

    private int answer(Http.Message request, ObjectNode body, Map<String, String> workerAddresses) throws IOException {
        expire();
        String[] target = request.target().split("\\?", 2);
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        String path = target[0];
        if (path.equals("/api/kv-key")) {
            Item item = items.get(query.get("key"));
            if (item == null) {
                return 404;
            }
            write(body, query.get("key"), item);
            body.put("asOf", revision);
            return 200;
        }
        if (path.equals("/api/kv-range")) {
            rangeCalls++;
            ArrayNode list = body.putArray("items");
            String prefix = query.getOrDefault("pathPrefix", "");
            long bytes = 0;
            boolean isTruncated = false;
            for (Map.Entry<String, Item> entry : items.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
                if (entry.getKey().startsWith(prefix)) {
                    if (list.size() >= MAX_PAGE_ITEMS || bytes >= MAX_PAGE_BYTES) {
                        isTruncated = true;
                        break;
                    }
                    Item item = seenBy(workerAddresses, entry.getKey(), entry.getValue());
                    bytes += item.value().length;
                    write(list.addObject(), entry.getKey(), item);
                }
            }
            body.put("truncated", isTruncated).put("asOf", revision);
            return 200;
        }
        if (path.equals("/api/kv-lease")) {
            long ttl = JSON.readTree(request.body()).path("lifetimeMs").asLong();
            leases.put(++lastLease, new Lease(ttl, System.currentTimeMillis() + ttl));
            body.put("lease", lastLease).put("lifetimeMs", ttl);
            return 200;
        }
        if (path.startsWith("/api/kv-keep/")) {
            long id = Long.parseLong(path.substring("/api/kv-keep/".length()));
            Lease lease = leases.get(id);
            if (lease == null) {
                return 404;
            }
            leases.put(id, new Lease(lease.ttlMillis(), System.currentTimeMillis() + lease.ttlMillis()));
            body.put("lifetimeMs", lease.ttlMillis());
            return 200;
        }
        if (path.startsWith("/api/kv-lease-end/")) {
            long id = Long.parseLong(path.substring("/api/kv-lease-end/".length()));
            if (leases.remove(id) == null) {
                return 404;
            }
            removeLeased(id);
            return 200;
        }
        return path.equals("/api/kv-txn") ? transaction(JSON.readTree(request.body()), body) : 404;
    }

    private static Item seenBy(Map<String, String> workerAddresses, String key, Item item) {
        if (!key.startsWith("servers/") || workerAddresses.isEmpty()) {
            return item;
        }
        String value = new String(item.value(), StandardCharsets.UTF_8);
        for (Map.Entry<String, String> address : workerAddresses.entrySet()) {
            value = value.replace('"' + address.getKey() + '"', '"' + address.getValue() + '"');
        }
        return new Item(value.getBytes(StandardCharsets.UTF_8), item.revision(), item.created(), item.lease());
    }

    private int transaction(JsonNode call, ObjectNode body) throws IOException {
        for (JsonNode condition : call.path("precondition")) {
            Item item = items.get(condition.path("key").asText());
            if ((item == null ? 0 : item.revision()) != condition.path("revision").asLong()) {
                return 412;
            }
        }
        for (JsonNode write : call.path("setKeys")) {
            long lease = write.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
            String key = write.path("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return 403;
            }
        }
        for (JsonNode write : call.path("setKeys")) {
            put(write.path("key").asText(), Base64.getDecoder().decode(write.path("value").asText()),
                    write.path("lease").asLong());
        }
        for (JsonNode key : call.path("remove")) {
            remove(key.asText());
        }
        body.put("revision", revision);
        return 200;
    }

    private static void write(ObjectNode node, String key, Item item) {
        node.put("key", key)
                .put("value", Base64.getEncoder().encodeToString(item.value()))
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }
}
