import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A request that crashes its workers comes again and again, while all routers are killed twice. */
final class CrashingRequest implements Case.Play {
    private static final String PATH = "/status/crashes";
    private static final long CONTACT_MILLIS = 4_000;
    private static final int ROUTERS = 3;
    private static final int WORKERS = 6;
    private static final int MAX_RETRIES = 3;

    private final Set<String> ranLate = ConcurrentHashMap.newKeySet();
    private final AtomicInteger crashes = new AtomicInteger();
    private volatile long thirdCrashMillis = Long.MAX_VALUE / 2;

    @Override
    public boolean run(Record record, Path directory, boolean trouble) throws Exception {
        Store store = new Store(record);
        store.put("op/config", """
                {"version":3,"routes":[{"name":"status","host":"permits.example","pathPrefix":"/status/","kind":"safe",
                "timeoutMs":1000,"targetLatencyMs":193,"priority":2,"service":"app","attempts":1,"public":false}],
                "services":[{"name":"app","healthPath":"/health","connectionLimit":100,"protocol":"h1","tls":false}],
                "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"t1","apiKeys":["k1"],"priority":1,"isolated":false}]}""");
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = new Worker(store, record, "app", "zone-" + "abc".charAt(i % 3), 6, 40);
            worker.crashOn(PATH, 3_000, requestId -> crashed(record, requestId));
            workers.add(worker);
        }
        try (Routers routers = new Routers(directory)) {
            for (int i = 0; i < ROUTERS; i++) {
                routers.start("zone-" + "abc".charAt(i), store.address());
            }
            awaitReady(routers);
            Thread.sleep(2_000);
            int sent = ask(record, routers, 12);
            for (int restart = 0; restart < 2; restart++) {
                if (trouble) {
                    record.note("all routers are killed and start again");
                    for (Routers.Router router : routers.all()) {
                        routers.kill(router);
                        routers.launch(router);
                    }
                    awaitReady(routers);
                }
                // From here on the routers have run for the time after which they count.
                Thread.sleep(CONTACT_MILLIS + 1_500);
                sent += ask(record, routers, 12);
            }
            record.note("requests %d, crashes of workers %d, of them later than %d ms after the third: %d requests",
                    sent, crashes.get(), CONTACT_MILLIS, ranLate.size());
            if (crashes.get() < 3) {
                throw new IllegalStateException("the request has not crashed three workers");
            }
        }
        return ranLate.size() <= MAX_RETRIES;
    }

    private static void awaitReady(Routers routers) throws Exception {
        for (Routers.Router router : routers.all()) {
            Routers.awaitReady(router, 20_000);
        }
    }

    // The client comes again once a second, at another router each time.
    private static int ask(Record record, Routers routers, int times) throws InterruptedException {
        for (int i = 0; i < times; i++) {
            Routers.Router router = routers.all().get(i % ROUTERS);
            Client.Answer answer =
                    Client.send(router.callers, "GET", "permits.example", PATH, "k1", 1_000, "", new byte[0]);
            record.line("%s to %s: %d %s", answer.id(), router.name, answer.status(), answer.failure());
            Thread.sleep(1_000);
        }
        return times;
    }

    private synchronized void crashed(Record record, String requestId) {
        long now = System.currentTimeMillis();
        if (now > thirdCrashMillis + CONTACT_MILLIS) {
            ranLate.add(requestId);
            record.note("BUDGET: %s crashes a worker %d ms after the third crash", requestId, now - thirdCrashMillis);
        }
        if (crashes.incrementAndGet() == 3) {
            thirdCrashMillis = now;
        }
    }
}
