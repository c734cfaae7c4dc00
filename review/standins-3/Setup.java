import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Builds configurations in the form of the pages. */
final class Setup {
    static final String HOST = "jepu9.example";
    static final String KEY = "ctnfzs989anu6wsjnban";

    private final ObjectNode config = Store.MAPPER.createObjectNode();
    private final ArrayNode routes;
    private final ArrayNode services;

    Setup(long version, int idleTimeoutMillis) {
        config.put("version", version);
        routes = config.putArray("routes");
        services = config.putArray("services");
        config.putObject("limits")
                .put("headerBytes", 16_384)
                .put("bodyBytes", 4_194_304)
                .put("headerTimeoutMs", 3_000)
                .put("idleTimeoutMs", idleTimeoutMillis);
        config.putArray("tenants")
                .addObject()
                .put("name", "sese880")
                .put("priority", 1)
                .put("isolated", false)
                .putArray("apiKeys")
                .add(KEY);
    }

    Setup route(String prefix, String kind, String service, int attempts, int timeoutMillis, boolean resumable) {
        routes.addObject()
                .put("name", "r" + routes.size())
                .put("host", HOST)
                .put("pathPrefix", prefix)
                .put("kind", kind)
                .put("timeoutMs", timeoutMillis)
                .put("targetLatencyMs", 500)
                .put("priority", 1)
                .put("service", service)
                .put("attempts", attempts)
                .put("public", false)
                .put("sticky", false)
                .put("resumable", resumable)
                .put("targetGapMs", 200);
        return this;
    }

    Setup service(String name) {
        services.addObject()
                .put("name", name)
                .put("healthPath", "/health")
                .put("connectionLimit", 230)
                .put("protocol", "h1")
                .put("tls", false);
        return this;
    }

    Setup engine(String name, String model) {
        service(name);
        ObjectNode engine = ((ObjectNode) services.get(services.size() - 1)).putObject("engine");
        engine.put("slots", 32).put("cacheTokens", 186_924).put("cacheTokenBytes", 18_432).put("linkMbps", 88_000.0);
        engine.put("maxInFlight", 12).put("handle_s", 5.0).putArray("models").addObject().put("name", model);
        return this;
    }

    ObjectNode build() {
        return config;
    }

    /** The headers of a request. */
    static String headers(String id, int deadlineMillis) {
        return "Request-Id: " + id + "\r\nDeadline-Ms: " + deadlineMillis + "\r\nAuthorization: Token " + KEY + "\r\n";
    }
}
