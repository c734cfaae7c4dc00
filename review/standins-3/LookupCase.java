import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request that many clients send, while the workers of its service are silent and start again.
 *
 * <p>The second argument says which: {@code large} for one with a large body that was answered before, {@code new} for a
 * small one that is sent from the begin of the silence on.
 */
public final class LookupCase {
    private static final int ROUTERS = 2;
    private static final int WORKERS = 3;
    /** Clients at each router that send the one lookup, and those that send others. */
    private static final int CLIENTS = 3;
    private static final int DEADLINE_MILLIS = 1_000;
    private static final int WORK_MILLIS = 20;
    private static final long DARK_MILLIS = 4_500;
    /** Three check-in intervals, after which the store removes the entry of a silent worker. */
    private static final long ENTRY_MILLIS = 3_600;
    private static final int DENIED_ALLOWED = 5;
    private static final int DENIED_ONE_IN = 500;

    private static volatile boolean over;

    private LookupCase() {}

    public static void main(String[] arguments) {
        boolean isNew = arguments[1].equals("new");
        Case.run(arguments, (record, folder, trouble) -> run(record, folder, trouble, isNew));
    }

    private static int run(Record record, Path folder, boolean trouble, boolean isNew) throws Exception {
        String size = isNew ? "20" : System.getenv().getOrDefault("BODY_BYTES", "100000");
        int bodyBytes = Integer.parseInt(size);
        Store store = new Store(1);
        store.put(
                "op/config",
                new Setup(7, 15_000).route("/look/", "safe", "app", 2, DEADLINE_MILLIS, false).service("app").build());
        AtomicInteger runs = new AtomicInteger();
        Worker.Handler handler = (worker, request, socket, out) -> {
            Worker.sleep(WORK_MILLIS);
            runs.incrementAndGet();
            Worker.ok(request, out, "{\"by\":\"" + worker.id + "\"}");
        };
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new Worker("i-a" + i, "app", 6, handler));
        }
        workers.forEach(worker -> worker.report(store));
        Map<String, AtomicInteger> answers = new ConcurrentSkipListMap<>();
        List<Router> routers = new ArrayList<>();
        try {
            for (int i = 0; i < ROUTERS; i++) {
                routers.add(new Router("front-a-" + (i + 1), folder, store.open().port(), 8));
            }
            routers.forEach(Router::awaitReady);
            Worker.sleep(1_500);
            record.add("the routers are ready; body of the one lookup: " + bodyBytes + " bytes");
            byte[] large = "x".repeat(bodyBytes).getBytes(StandardCharsets.US_ASCII);
            for (Router router : routers) {
                for (int i = 0; i < CLIENTS; i++) {
                    Worker.start("other", () -> send(router, answers, "other lookups", null));
                }
            }
            if (!isNew) {
                sendTheOne(routers, answers, large);
            }
            Worker.sleep(8_000);
            report(record, "before", answers);
            if (trouble) {
                workers.forEach(worker -> worker.dark = true);
                record.add("the three workers are silent");
            }
            if (isNew) {
                record.add("the one lookup is sent from now on");
                sendTheOne(routers, answers, large);
            }
            if (trouble) {
                Worker.sleep(ENTRY_MILLIS);
                workers.forEach(worker -> store.remove("servers/" + worker.id));
                Worker.sleep(DARK_MILLIS - ENTRY_MILLIS);
                for (int i = 0; i < WORKERS; i++) {
                    Worker old = workers.get(i);
                    old.close();
                    Worker started = new Worker("i-b" + i, "app", 6, handler);
                    started.report(store);
                }
                record.add("the three workers have started again");
            }
            Worker.sleep(3_000);
            report(record, "until 3 s later", answers);
            Worker.sleep(20_000);
            report(record, "until the end", answers);
            over = true;
            for (Router router : routers) {
                router.log().lines()
                        .filter(line -> line.contains("abandoned_request_suspected") || line.contains("upstream_lost"))
                        .limit(8)
                        .forEach(record::add);
            }
        } finally {
            for (Router router : routers) {
                router.close();
            }
        }
        int all = answers.values().stream().mapToInt(AtomicInteger::get).sum();
        int denied = answers.entrySet().stream()
                .filter(entry -> entry.getKey().matches(".*: 4(?!08|21|29)\\d\\d"))
                .mapToInt(entry -> entry.getValue().get())
                .sum();
        double allowed = DENIED_ALLOWED + (double) all / DENIED_ONE_IN;
        record.add("ended with a 4xx: " + denied + " of " + all + " requests; allowed: " + allowed + "; runs: " + runs);
        return runs.get() == 0 ? Case.NOT_RUN : denied > allowed ? Case.BROKEN : Case.HELD;
    }

    private static void sendTheOne(List<Router> routers, Map<String, AtomicInteger> answers, byte[] body) {
        for (Router router : routers) {
            for (int i = 0; i < CLIENTS; i++) {
                Worker.start("same", () -> send(router, answers, "the one lookup", body));
            }
        }
    }

    private static void report(Record record, String when, Map<String, AtomicInteger> answers) {
        record.add(when + ": " + answers);
    }

    private static final AtomicInteger NUMBER = new AtomicInteger();

    // A body of null stands for a lookup of its own.
    private static void send(
            Router router, Map<String, AtomicInteger> answers, String kind, byte[] body) {
        while (!over) {
            String id = "q" + NUMBER.incrementAndGet();
            String result;
            try (Client client = new Client(router.callers, DEADLINE_MILLIS + 500)) {
                Client.Answer answer = client.call(
                        "POST",
                        body == null ? "/look/" + id : "/look/tariffs",
                        Setup.HOST,
                        Setup.headers(id, DEADLINE_MILLIS),
                        body == null ? id.getBytes(StandardCharsets.US_ASCII) : body);
                result = answer.complete() ? Integer.toString(answer.status()) : "broken off";
            } catch (Exception e) {
                result = "no channel";
            }
            answers.computeIfAbsent(kind + ": " + result, key -> new AtomicInteger()).incrementAndGet();
            Worker.sleep(200);
        }
    }
}
