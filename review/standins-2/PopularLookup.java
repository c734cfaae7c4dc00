import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients of one tenant look up the same status. The workers of the service are silent for some seconds and start
 * again. Afterwards each lookup has to be answered as before.
 */
final class PopularLookup implements Case.Play {
    private static final int ROUTERS = 3;
    private static final int WORKERS = 3;
    private static final long DARK_FROM_MILLIS = 5_000;
    private static final long DARK_MILLIS = 4_500;
    private static final long END_MILLIS = 30_000;
    private static final int POLLERS = 9;
    private static final long POLL_MILLIS = 500;
    private static final String KEY = "k1";
    private static final String POPULAR = "/status/permits/today";

    private final Map<Integer, AtomicInteger> popular = new ConcurrentHashMap<>();
    private final Map<Integer, AtomicInteger> others = new ConcurrentHashMap<>();
    private final AtomicInteger all = new AtomicInteger();
    private final AtomicInteger denied = new AtomicInteger();
    private volatile boolean ended;

    @Override
    public boolean run(Record record, Path directory, boolean trouble) throws Exception {
        Store store = new Store(record);
        store.put("op/config", """
                {"version":3,"routes":[{"name":"status","host":"permits.example","pathPrefix":"/status/","kind":"safe",
                "timeoutMs":1000,"targetLatencyMs":193,"priority":2,"service":"app","attempts":2,"public":false}],
                "services":[{"name":"app","healthPath":"/health","connectionLimit":100,"protocol":"h1","tls":false}],
                "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"t1","apiKeys":["k1"],"priority":1,"isolated":false}]}""");
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new Worker(store, record, "app", "zone-" + "abc".charAt(i), 6, 43));
        }
        try (Routers routers = new Routers(directory)) {
            for (int i = 0; i < ROUTERS; i++) {
                routers.start("zone-" + "abc".charAt(i), store.address());
            }
            for (Routers.Router router : routers.all()) {
                Routers.awaitReady(router, 20_000);
            }
            Thread.sleep(2_000);
            long start = System.currentTimeMillis();
            for (int i = 0; i < POLLERS; i++) {
                Routers.Router router = routers.all().get(i % ROUTERS);
                Listener.daemon(() -> poll(record, router, true));
                Listener.daemon(() -> poll(record, router, false));
            }
            if (trouble) {
                sleepUntil(start + DARK_FROM_MILLIS);
                workers.forEach(Worker::goDark);
                sleepUntil(start + DARK_FROM_MILLIS + DARK_MILLIS);
                for (Worker worker : workers) {
                    worker.crash();
                    worker.restart();
                }
            }
            sleepUntil(start + END_MILLIS);
            ended = true;
            Thread.sleep(2_500);
        }
        record.note("the popular lookup, answers by status: %s", popular);
        record.note("lookups asked once each, answers by status: %s", others);
        double allowed = 5 + all.get() / 500.0;
        record.note("requests %d, ended with a 4xx of a router's own %d, allowed %.1f", all.get(), denied.get(), allowed);
        return denied.get() <= allowed;
    }

    private void poll(Record record, Routers.Router router, boolean isPopular) {
        try {
            while (!ended) {
                String path = isPopular ? POPULAR : "/status/permits/" + Client.newId();
                Client.Answer answer =
                        Client.send(router.callers, "GET", "permits.example", path, KEY, 1_000, "", new byte[0]);
                record.line("%s to %s %s: %d %s", answer.id(), router.name, path, answer.status(), answer.failure());
                all.incrementAndGet();
                (isPopular ? popular : others)
                        .computeIfAbsent(answer.status(), status -> new AtomicInteger())
                        .incrementAndGet();
                int status = answer.status();
                boolean isExcepted = status == 408 || status == 421 || status == 429;
                if (status >= 300 && status < 500 && !isExcepted && !answer.isSigned()) {
                    denied.incrementAndGet();
                }
                Thread.sleep(POLL_MILLIS / 2 + ThreadLocalRandom.current().nextLong(POLL_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepUntil(long epochMillis) throws InterruptedException {
        Thread.sleep(Math.max(0, epochMillis - System.currentTimeMillis()));
    }
}
