import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A model worker: streams two events for each prompt and carries orders out at once. */
final class Engine {
    static final String MODEL = "m1";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Store store;
    private final Record record;
    private final String service;
    private final String zone;
    private final Listener listener;
    private final String id = "i-" + Long.toHexString(ThreadLocalRandom.current().nextLong(1L << 40));
    private final long born = System.currentTimeMillis();
    private long version = 1;
    private long orders;

    /** Hears of each order that arrives. */
    interface OrderListener {
        void ordered(String holder, long token, int status);
    }

    private volatile OrderListener orderListener = (holder, token, status) -> {};

    Engine(Store store, Record record, String service, String zone) throws IOException {
        this.store = store;
        this.record = record;
        this.service = service;
        this.zone = zone;
        listener = new Listener(this::handle);
        Listener.daemon(this::checkIn);
        write();
    }

    void onOrder(OrderListener newListener) {
        orderListener = newListener;
    }

    String id() {
        return id;
    }

    String address() {
        return listener.address();
    }

    /** A configuration with one route to engines. */
    static String config(int version) {
        return """
                {"version":%d,"routes":[{"name":"check","host":"lm.example","pathPrefix":"/check/","kind":"streaming",
                "timeoutMs":6000,"targetLatencyMs":500,"priority":1,"service":"lm","attempts":2,"public":false,
                "sticky":true,"resumable":true,"targetGapMs":200}],
                "services":[{"name":"lm","healthPath":"/health","connectionLimit":230,"protocol":"h1","tls":false,
                "engine":{"slots":32,"cacheTokens":186924,"cacheTokenBytes":18432,"linkMbps":88000.0,"moves":true,
                "backups":true,"stride":6,"maxInFlight":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,
                "models":[{"name":"m1"}]}}],
                "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"t1","apiKeys":["k1"],"priority":1,"isolated":false}]}"""
                .formatted(version);
    }

    private void checkIn() {
        try {
            while (true) {
                Thread.sleep(Worker.CHECK_IN_MILLIS);
                write();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void write() {
        if (store.isDown()) {
            return;
        }
        store.put(
                "servers/" + id,
                ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":32,"
                                + "\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{\"name\":\"%s\","
                                + "\"version\":%d,\"adapters\":[]}],\"sequence\":%d,\"born\":%d}")
                        .formatted(service, listener.address(), zone, MODEL, version, orders, born));
    }

    private boolean handle(Http.Message request, OutputStream out) throws IOException, InterruptedException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Instance-Id", id);
        String expected = request.header("Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            out.write(Http.response(421, headers, new byte[0]));
            return true;
        }
        String path = request.target().split("\\?")[0];
        if (path.equals("/health")) {
            out.write(Http.response(200, headers, new byte[0]));
            return true;
        }
        if (path.equals("/api/report")) {
            headers.put("Content-Type", "application/json");
            out.write(Http.response(200, headers, report().getBytes(StandardCharsets.UTF_8)));
            return true;
        }
        if (path.equals("/api/order")) {
            JsonNode order = JSON.readTree(request.body());
            int status = order(order);
            orderListener.ordered(order.path("holder").asText(), order.path("fencingToken").asLong(), status);
            out.write(Http.response(status, headers, new byte[0]));
            return true;
        }
        String requestId = request.header("Request-Id");
        headers.put("Request-Id", requestId);
        String wanted = request.header("Expected-Version");
        if (wanted != null && Long.parseLong(wanted) != version) {
            out.write(Http.response(421, headers, new byte[0]));
            return true;
        }
        record.line("%s runs %s", id, requestId);
        Thread.sleep(30);
        headers.put("Response-Signature", "s." + requestId);
        headers.put("Weight-Versions", Long.toString(version));
        headers.put("Content-Type", "text/event-stream");
        headers.put("Server-Load", "0,0,32");
        out.write(Http.response(
                200, headers, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n".getBytes(StandardCharsets.UTF_8)));
        return true;
    }

    private synchronized String report() {
        return ("{\"stage\":\"both\",\"models\":[{\"name\":\"%s\",\"version\":%d,\"adapters\":[]}],\"busy\":false,"
                        + "\"sequence\":%d,\"waiting\":0,\"running\":0,\"cacheUsed\":0,\"cacheTotal\":180000,"
                        + "\"handles\":0,\"born\":%d}")
                .formatted(MODEL, version, orders, born);
    }

    private synchronized int order(JsonNode order) {
        if (order.path("precondition").asLong(orders) != orders) {
            return 409;
        }
        if (order.path("version").asLong() == version) {
            return 200;
        }
        orders++;
        version = order.path("version").asLong();
        return 202;
    }
}
