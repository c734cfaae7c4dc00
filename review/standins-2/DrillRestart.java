import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A key is taken away. Later the store goes back, in a drill, to a copy that still has the key, and routers that are
 * killed meanwhile start again before the operator has written its configuration once more.
 */
final class DrillRestart implements Case.Play {
    private static final long REVOKE_MILLIS = 5_000;
    private static final long AWAY_MILLIS = 1_000;
    private static final long REWRITE_MILLIS = 2_000;
    private static final int ROUTERS = 3;

    private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
    private final AtomicInteger late = new AtomicInteger();
    private volatile long lateFromMillis = Long.MAX_VALUE;
    private volatile boolean ended;

    @Override
    public boolean run(Record record, Path directory, boolean trouble) throws Exception {
        Store store = new Store(record);
        store.startEra(1);
        configure(store, 3, "\"k2\"");
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Worker worker = new Worker(store, record, "app", "zone-" + "abc".charAt(i), 6, 20);
            worker.onRun((id, tenant) -> ran(record, id, tenant));
            workers.add(worker);
        }
        try (Routers routers = new Routers(directory)) {
            for (int i = 0; i < ROUTERS; i++) {
                routers.start("zone-" + "abc".charAt(i), store.address());
            }
            for (Routers.Router router : routers.all()) {
                Routers.awaitReady(router, 20_000);
            }
            Thread.sleep(2_000);
            for (Routers.Router router : routers.all()) {
                Listener.daemon(() -> ask(record, router, "k1"));
                Listener.daemon(() -> ask(record, router, "k2"));
            }
            Thread.sleep(1_000);
            Store.Copy copy = store.copy();
            Thread.sleep(500);
            configure(store, 5, "");
            lateFromMillis = System.currentTimeMillis() + REVOKE_MILLIS;
            record.note("configuration 5 acknowledged: it takes key k2 away");
            Thread.sleep(REVOKE_MILLIS + 500);
            if (trouble) {
                record.note("the store is away; all routers are killed and start again");
                store.setDown(true);
                for (Routers.Router router : routers.all()) {
                    routers.kill(router);
                    routers.launch(router);
                }
                Thread.sleep(AWAY_MILLIS);
                store.goBackTo(copy);
                store.setDown(false);
                record.note("the store is back with a copy that is %d ms old, era 2",
                        System.currentTimeMillis() - copy.millis());
                Thread.sleep(REWRITE_MILLIS);
                configure(store, 5, "");
                record.note("the operator has written configuration 5 again");
            }
            Thread.sleep(3_000);
            ended = true;
            Thread.sleep(1_500);
        }
        record.note("answers by key and status: %s", answers);
        record.note("requests with k2 that were sent later than %d ms after the ack and ran: %d", REVOKE_MILLIS,
                late.get());
        return late.get() == 0;
    }

    private static void configure(Store store, int version, String keysOfSecond) {
        store.put("op/config", """
                {"version":%d,"routes":[{"name":"status","host":"permits.example","pathPrefix":"/status/","kind":"safe",
                "timeoutMs":1000,"targetLatencyMs":193,"priority":2,"service":"app","attempts":2,"public":false}],
                "services":[{"name":"app","healthPath":"/health","connectionLimit":100,"protocol":"h1","tls":false}],
                "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"t1","apiKeys":["k1"],"priority":1,"isolated":false},
                {"name":"t2","apiKeys":[%s],"priority":1,"isolated":false}]}""".formatted(version, keysOfSecond));
    }

    private void ran(Record record, String id, String tenant) {
        Long sent = sentMillis.get(id);
        if (sent != null && sent > lateFromMillis) {
            late.incrementAndGet();
            record.line("CONFIG: %s of tenant %s runs, sent %d ms after the ack", id, tenant,
                    sent - lateFromMillis + REVOKE_MILLIS);
        }
    }

    private void ask(Record record, Routers.Router router, String key) {
        try {
            while (!ended) {
                String id = Client.newId();
                if (key.equals("k2")) {
                    sentMillis.put(id, System.currentTimeMillis());
                }
                Client.Answer answer = Client.send(id, router.callers, "GET", "permits.example", "/status/1", key,
                        1_000, "", new byte[0]);
                record.line("%s with %s to %s: %d %s", id, key, router.name, answer.status(), answer.failure());
                answers.computeIfAbsent(key + "=" + answer.status(), name -> new AtomicInteger()).incrementAndGet();
                Thread.sleep(answer.status() == 0 ? 20 : 50);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
