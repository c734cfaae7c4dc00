import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of a model worker: reports, takes orders to load weights, and answers prompts with a short stream. */
final class Engine implements AutoCloseable {
    private static final long LOAD_MILLIS = 1_800;
    private static final long FIRST_EVENT_MILLIS = 40;
    private static final int EVENTS = 4;

    private final Record record;
    private final Store store;
    final String id;
    private final String service;
    private final String zone;
    private final int slots;
    private final long bornMillis = System.currentTimeMillis();
    private final Http.Server server;
    private final TreeMap<String, Long> versions = new TreeMap<>();
    // Salt, model and part to the tenant whose request made it.
    private final Map<String, String> cached = new HashMap<>();
    private String loading = "";
    private long sequence;
    private long highestFence;

    Engine(Record record, Store store, String id, String service, String zone, int slots, Map<String, Long> versions)
            throws IOException {
        this.record = record;
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.versions.putAll(versions);
        this.server = new Http.Server(this::handle);
    }

    synchronized long version(String model) {
        return versions.get(model);
    }

    /** Writes the entry in the store; again whenever the weights have changed. */
    synchronized void register() {
        ObjectNode entry = Store.MAPPER.createObjectNode();
        entry.put("service", service).put("address", server.address()).put("zone", zone).put("version", "v1");
        entry.put("slots", slots).put("state", "ready").put("coldRemainingMs", 0).put("stage", "both");
        entry.set("models", models());
        entry.put("sequence", sequence).put("born", bornMillis);
        store.put("servers/" + id, entry.toString());
    }

    private ArrayNode models() {
        ArrayNode models = Store.MAPPER.createArrayNode();
        versions.forEach((name, version) ->
                models.addObject().put("name", name).put("version", version).putArray("adapters"));
        return models;
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String expected = request.header("Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.respond(out, 421, "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (request.target().equals("/api/report")) {
            Http.respond(out, 200, "Content-Type: application/json\r\n", report());
            return true;
        }
        if (request.target().equals("/api/order")) {
            Http.respond(out, order(Store.MAPPER.readTree(request.body)), "", new byte[0]);
            return true;
        }
        return prompt(request, out);
    }

    private synchronized byte[] report() throws IOException {
        ObjectNode report = Store.MAPPER.createObjectNode();
        report.put("stage", "both").set("models", models());
        report.put("busy", !loading.isEmpty()).put("sequence", sequence).put("waiting", 0).put("running", 0);
        report.put("cacheUsed", 0).put("cacheTotal", 186924).put("handles", 0).put("born", bornMillis);
        return Store.MAPPER.writeValueAsBytes(report);
    }

    private synchronized int order(JsonNode order) {
        String model = order.path("model").asText();
        long version = order.path("version").asLong();
        long fence = order.path("fencingToken").asLong();
        int status;
        if (order.path("holder").asText().isEmpty() || !order.has("fencingToken") || !versions.containsKey(model)) {
            status = 400;
        } else if (fence < highestFence) {
            status = 412;
        } else if (!loading.isEmpty() || (order.has("precondition") && order.path("precondition").asLong() != sequence)) {
            status = 409;
        } else if (versions.get(model) == version) {
            status = 200;
        } else {
            status = 202;
            sequence++;
            loading = model;
            Http.daemon(() -> load(model, version));
        }
        highestFence = Math.max(highestFence, fence);
        record.line("worker " + id + ": order " + model + " " + version + " from " + order.path("holder").asText() + " "
                + fence + ", answers " + status);
        return status;
    }

    private void load(String model, long version) throws InterruptedException {
        Thread.sleep(LOAD_MILLIS);
        synchronized (this) {
            versions.put(model, version);
            loading = "";
            cached.clear();
        }
        record.line("worker " + id + ": has " + model + " " + version);
        register();
    }

    private boolean prompt(Http.Message request, OutputStream out) throws Exception {
        String requestId = request.header("Request-Id");
        String model = request.header("Model");
        String expected = request.header("Expected-Version");
        long version;
        synchronized (this) {
            version = versions.get(model);
            if (loading.equals(model)) {
                record.line("worker " + id + ": loads, refuses " + requestId);
                Http.respond(out, 503, "Not-Executed: 1\r\nRequest-Id: " + requestId + "\r\n", new byte[0]);
                return true;
            }
        }
        if (expected != null && Long.parseLong(expected) != version) {
            record.line("worker " + id + ": has " + model + " " + version + ", refuses " + requestId + ", expected "
                    + expected);
            Http.respond(
                    out,
                    421,
                    "Not-Executed: 1\r\nInstance-Id: " + id + "\r\nWeight-Versions: " + version + "\r\nRequest-Id: "
                            + requestId + "\r\n",
                    new byte[0]);
            return true;
        }
        record.ran(requestId);
        record.line("worker " + id + ": runs " + requestId + " on " + model + " " + version);
        String salt = request.header("Cache-Salt");
        uses.addAll(useCache(requestId, salt == null ? "" : salt, model, request.header("Tenant"), request));
        out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: 3e1b." + requestId
                        + "\r\nWeight-Versions: " + version
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes());
        for (int i = 1; i <= EVENTS; i++) {
            Thread.sleep(FIRST_EVENT_MILLIS);
            String event = "id: " + i + "\ndata: piece\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
        return true;
    }

    /** Use of a cached part that a request of another tenant has made. */
    record ForeignPart(double seconds, String part, String maker, String user) {}

    private final List<ForeignPart> uses = java.util.Collections.synchronizedList(new ArrayList<>());

    List<ForeignPart> foreignParts() {
        synchronized (uses) {
            return List.copyOf(uses);
        }
    }

    // A part is found if all parts before it are; from the first one that is not, all are read and kept.
    private synchronized List<ForeignPart> useCache(
            String requestId, String salt, String model, String tenant, Http.Message request) {
        List<ForeignPart> foreign = new ArrayList<>();
        boolean found = true;
        for (String entry : request.header("Prompt-Prefix").split(",")) {
            String part = entry.split(":")[0];
            String key = salt + '|' + model + '|' + part;
            String maker = cached.get(key);
            found &= maker != null;
            if (!found) {
                cached.put(key, tenant);
                record.line("worker " + id + ": " + requestId + " of " + tenant + " makes " + part + " under " + salt);
            } else if (!maker.equals(tenant)) {
                foreign.add(new ForeignPart(record.seconds(), part, maker, tenant));
                record.line("worker " + id + ": " + requestId + " of " + tenant + " uses " + part + " under " + salt
                        + ", made by " + maker);
            }
        }
        return foreign;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
