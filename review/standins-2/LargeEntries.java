import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Another writer leaves large entries beside those of the workers for some seconds. Later, when they are gone, the
 * configuration changes.
 */
final class LargeEntries implements Case.Play {
    private static final long APPLY_MILLIS = 3_000;
    private static final long PRESENT_MILLIS = 15_000;
    private static final long CALM_MILLIS = 5_000;
    private static final long JUDGED_MILLIS = 12_000;
    private static final int ENTRIES = 128;
    // The largest value of the store is 1,048,576 bytes.
    private static final int ENTRY_BYTES = 1_000_000;
    private static final int ROUTERS = 3;

    @Override
    public boolean run(Record record, Path directory, boolean trouble) throws Exception {
        Store store = new Store(record);
        configure(store, 3, "");
        for (int i = 0; i < 3; i++) {
            new Worker(store, record, "app", "zone-" + "abc".charAt(i), 6, 20);
        }
        Map<String, Integer> answers = new TreeMap<>();
        int denied = 0;
        try (Routers routers = new Routers(directory)) {
            for (int i = 0; i < ROUTERS; i++) {
                routers.start("zone-" + "abc".charAt(i), store.address());
            }
            for (Routers.Router router : routers.all()) {
                Routers.awaitReady(router, 20_000);
            }
            Thread.sleep(2_000);
            if (trouble) {
                byte[] value = new byte[ENTRY_BYTES];
                new Random(1).nextBytes(value);
                for (int i = 0; i < ENTRIES; i++) {
                    store.put("servers/backup-" + (1000 + i), value);
                }
                record.note("another writer has left %d entries of %d bytes", ENTRIES, ENTRY_BYTES);
                Thread.sleep(PRESENT_MILLIS);
                for (int i = 0; i < ENTRIES; i++) {
                    store.remove("servers/backup-" + (1000 + i));
                }
                record.note("the entries of the other writer are gone");
            }
            Thread.sleep(CALM_MILLIS);
            configure(store, 5, "{\"name\":\"new\",\"host\":\"permits.example\",\"pathPrefix\":\"/new/\","
                    + "\"kind\":\"safe\",\"timeoutMs\":1000,\"targetLatencyMs\":193,\"priority\":2,"
                    + "\"service\":\"app\",\"attempts\":2,\"public\":false},");
            record.note("configuration 5 acknowledged: it adds a route");
            long callsBefore = store.rangeCalls();
            long from = System.currentTimeMillis() + APPLY_MILLIS;
            long end = from + JUDGED_MILLIS;
            while (System.currentTimeMillis() < end) {
                for (Routers.Router router : routers.all()) {
                    for (String path : new String[] {"/new/1", "/status/1"}) {
                        long sent = System.currentTimeMillis();
                        Client.Answer answer = Client.send(router.callers, "GET", "permits.example", path, "k1", 1_000,
                                "", new byte[0]);
                        record.line("%s to %s %s: %d %s", answer.id(), router.name, path, answer.status(),
                                answer.failure());
                        if (sent > from) {
                            answers.merge(path + "=" + answer.status(), 1, Integer::sum);
                            boolean isOlder = answer.status() == 404 || answer.status() == 401;
                            denied += isOlder && path.startsWith("/new/") ? 1 : 0;
                        }
                    }
                }
                Thread.sleep(200);
            }
            record.note("reads of the store since then, by all routers: %d", store.rangeCalls() - callsBefore);
            for (Routers.Router router : routers.all()) {
                record.note("%s runs: %s, says that it is ready: %s", router.name, router.process().isAlive(),
                        Routers.isReady(router));
            }
        }
        record.note("answers later than %d ms after the ack: %s", APPLY_MILLIS, answers);
        record.note("requests on the new route that were handled as by the older configuration: %d", denied);
        return denied == 0;
    }

    private static void configure(Store store, int version, String routes) {
        store.put("op/config", """
                {"version":%d,"routes":[%s{"name":"status","host":"permits.example","pathPrefix":"/status/","kind":"safe",
                "timeoutMs":1000,"targetLatencyMs":193,"priority":2,"service":"app","attempts":2,"public":false}],
                "services":[{"name":"app","healthPath":"/health","connectionLimit":100,"protocol":"h1","tls":false}],
                "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"t1","apiKeys":["k1"],"priority":1,"isolated":false}]}""".formatted(version, routes));
    }
}
