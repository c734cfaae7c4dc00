import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A new configuration adds a route for all paths of a host; some clients send a path that begins with two slashes. */
final class DoubleSlashCase extends Case {
    private static final String KEY = "ctnfzs989anu6wsjnban";
    private static final int ROUNDS = 10;

    private final Map<String, String> runs = new ConcurrentHashMap<>();

    private DoubleSlashCase(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new DoubleSlashCase(Path.of(args[0])));
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < 3; i++) {
            Worker worker = new Worker(record, store, "i-permit-" + i, "permit-app", ZONES[i], 6, 30);
            worker.onRequest(request -> {
                runs.put(request.header("Request-Id"), request.method() + " " + request.target());
                return false;
            });
            workers.add(worker);
            worker.register();
        }
        String routes = route("r-file", "/file/", "unsafe", 1000, "permit-app", 1, false);
        configure(7, config(7, routes, plainService("permit-app"), 15000, "\"" + KEY + "\""));
        startRouters(3);
        Thread.sleep(1_000);
        if (trouble) {
            configure(
                    9,
                    config(
                            9,
                            routes + "," + route("r-all", "/", "unsafe", 1000, "permit-app", 1, false),
                            plainService("permit-app"),
                            15000,
                            "\"" + KEY + "\""));
        }
        Thread.sleep(CONFIGURATION_APPLY_MILLIS + 1_000);
        AtomicInteger ran = new AtomicInteger();
        AtomicInteger changed = new AtomicInteger();
        for (int i = 0; i < ROUNDS; i++) {
            for (Router router : routers) {
                for (String path : new String[] {"/file/" + i, "//file/" + i, "//archive/" + i + "?all=1", "/archive//" + i}) {
                    send(router, "POST " + path, ran, changed);
                }
            }
        }
        record.line(ran + " requests were run, " + changed + " of them with another path than the client had sent");
        if (ran.get() == 0) {
            throw new IllegalStateException("no request was run");
        }
        return changed.get() == 0;
    }

    private void send(Router router, String request, AtomicInteger ran, AtomicInteger changed) {
        Caller.Answer answer = Caller.send(record, router, request, KEY, 1000, "renewal");
        String run = runs.get(answer.id());
        if (run == null) {
            return;
        }
        ran.incrementAndGet();
        if (!run.equals(request)) {
            changed.incrementAndGet();
            record.line("client: " + answer.id() + " was sent as " + request + " and run as " + run);
        }
    }
}
