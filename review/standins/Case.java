import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Frame of a case: the store, some routers and workers, the record, and the exit status. */
abstract class Case implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    // A case may run for 120 s.
    private static final long MAX_MILLIS = 115_000;
    /** Bounds of abw-aargau. */
    static final long CONFIGURATION_APPLY_MILLIS = 2_000;

    static final long CONTACT_MILLIS = 3_000;
    static final String[] ZONES = {"ch-nord-a", "ch-nord-b", "ch-nord-c"};

    final Path folder;
    final Path logs;
    final Record record;
    final Store store;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Router> routers = new ArrayList<>();
    final List<AutoCloseable> workers = new ArrayList<>();

    Case(Path folder) throws Exception {
        this.folder = folder;
        logs = Files.createTempDirectory("agatelane-review");
        record = new Record(folder.resolve("record.txt"));
        store = new Store(record);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> routers.forEach(Router::close)));
    }

    /** Plays the case and returns whether the rule was kept. */
    abstract boolean play() throws Exception;

    void startRouters(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            Router router = new Router(logs, "front-" + i, ZONES[i % ZONES.length], store.address());
            routers.add(router);
            router.start();
        }
        for (Router router : routers) {
            router.awaitReady();
        }
        record.line("all routers are ready");
    }

    static String route(String name, String prefix, String kind, int timeoutMillis, String service, int attempts, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"permits.example\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":500,\"priority\":1,\"service\":\""
                + service + "\",\"attempts\":" + attempts + ",\"public\":false,\"sticky\":" + resumable
                + ",\"resumable\":" + resumable + ",\"targetGapMs\":200}";
    }

    static String plainService(String name) {
        return "{\"name\":\"" + name
                + "\",\"healthPath\":\"/health\",\"connectionLimit\":100,\"protocol\":\"h1\",\"tls\":false}";
    }

    static String config(int version, String routes, String services, int idleTimeoutMillis, String keys) {
        return config(version, routes, services, idleTimeoutMillis, List.of(tenant("baden", keys, false)));
    }

    static String config(int version, String routes, String services, int idleTimeoutMillis, List<String> tenants) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                + "],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":"
                + idleTimeoutMillis + "},\"tenants\":[" + String.join(",", tenants) + "]}";
    }

    static String tenant(String name, String keys, boolean isolated) {
        return "{\"name\":\"" + name + "\",\"apiKeys\":[" + keys + "],\"priority\":1,\"isolated\":" + isolated + "}";
    }

    void configure(int version, String config) {
        store.put("op/config", config);
        record.line("operator: configuration " + version + " is acknowledged");
    }

    @Override
    public void close() throws Exception {
        for (Router router : routers) {
            router.close();
        }
        for (AutoCloseable worker : workers) {
            worker.close();
        }
        store.close();
    }

    private void removeLogs() throws IOException {
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs of the routers: " + logs);
            return;
        }
        try (Stream<Path> files = Files.walk(logs)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    static void run(Case played) throws Exception {
        int status = NOT_RUN;
        Http.daemon(() -> {
            Thread.sleep(MAX_MILLIS);
            played.record.line("the case could not run: it has not ended after " + MAX_MILLIS + " ms");
            played.routers.forEach(Router::close);
            played.removeLogs();
            Runtime.getRuntime().halt(NOT_RUN);
        });
        try {
            boolean kept = played.play();
            played.record.line(kept ? "the rule was kept" : "the rule was broken");
            status = kept ? HELD : BROKEN;
        } catch (Exception e) {
            e.printStackTrace();
            played.record.line("the case could not run: " + e);
        } finally {
            played.close();
        }
        played.removeLogs();
        Runtime.getRuntime().halt(status);
    }
}
