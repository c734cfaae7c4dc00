import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A lookup crashes each worker that begins to run it, and comes again at every router every two seconds. */
final class CrashingRequestCase extends Case {
    private static final String KEY = "ctnfzs989anu6wsjnban";
    private static final int WORKERS = 8;
    private static final long DOWN_MILLIS = 2_000;
    // Three check-in intervals of silence.
    private static final long ENTRY_REMAINS_MILLIS = 3_600;
    private static final long COMES_AGAIN_MILLIS = 2_000;
    private static final double TRAFFIC_SECONDS = 85;
    private static final int MAX_RETRIES = 3;
    // Together about as many renewals a second as on the sheet of abw-aargau, 37.5.
    private static final int CLIENTS = 7;

    private final List<Double> arrivalsSeconds = new ArrayList<>();
    private final List<Double> crashesSeconds = new ArrayList<>();
    private final AtomicInteger boots = new AtomicInteger();
    private final AtomicInteger renewals = new AtomicInteger();
    private final AtomicInteger brokenOff = new AtomicInteger();

    private CrashingRequestCase(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new CrashingRequestCase(Path.of(args[0])));
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < WORKERS; i++) {
            startWorker(ZONES[i % 3]);
        }
        String routes = route("r-file", "/file/", "unsafe", 1000, "permit-app", 1, false) + ","
                + route("r-status", "/status/", "safe", 1000, "permit-app", 2, false);
        configure(7, config(7, routes, plainService("permit-app"), 15000, "\"" + KEY + "\""));
        startRouters(3);
        Thread.sleep(1_500);
        double end = record.seconds() + TRAFFIC_SECONDS;
        List<Thread> clients = new ArrayList<>();
        for (int k = 0; k < CLIENTS; k++) {
            Router router = routers.get(k % routers.size());
            int client = k;
            clients.add(Http.daemon(() -> {
                for (int i = 0; record.seconds() < end; i++) {
                    Caller.Answer answer =
                            Caller.send(record, router, "POST /file/" + client + "-" + i, KEY, 1000, "renewal " + i);
                    renewals.incrementAndGet();
                    if (record.hasRun(answer.id()) && !answer.signed()) {
                        brokenOff.incrementAndGet();
                        record.line("client: " + answer.id() + " was run and broken off");
                    }
                    Thread.sleep(150);
                }
            }));
        }
        // The same path, caller and body, at each machine.
        double first = record.seconds() + 1;
        for (Router router : routers) {
            clients.add(Http.daemon(() -> {
                for (int i = 0; record.seconds() < end; i++) {
                    long waitMillis = Math.round((first + i * COMES_AGAIN_MILLIS / 1_000.0 - record.seconds()) * 1_000);
                    Thread.sleep(Math.max(0, waitMillis));
                    Caller.send(record, router, "GET /status/deadly", KEY, 1000, "");
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        synchronized (this) {
            int after = 0;
            if (crashesSeconds.size() >= 3) {
                double bound = crashesSeconds.get(2) + CONTACT_MILLIS / 1_000.0;
                after = (int) arrivalsSeconds.stream().filter(seconds -> seconds > bound).count();
                record.line("the third crash was at " + crashesSeconds.get(2) + " s");
            }
            record.line("the lookup crashed " + crashesSeconds.size() + " workers; " + after
                    + " retries reached workers later than contactMs after the third crash; " + brokenOff + " of "
                    + renewals + " renewals of others were run and broken off");
            return after <= MAX_RETRIES;
        }
    }

    private void startWorker(String zone) throws Exception {
        String id = "i-permit-" + boots.incrementAndGet();
        Worker worker = new Worker(record, store, id, "permit-app", zone, 6, 43);
        worker.onRequest(request -> {
            if (!request.target().equals("/status/deadly")) {
                return false;
            }
            synchronized (this) {
                arrivalsSeconds.add(record.seconds());
            }
            if (!trouble) {
                return false;
            }
            worker.crash();
            synchronized (this) {
                crashesSeconds.add(record.seconds());
            }
            Http.daemon(() -> {
                Thread.sleep(DOWN_MILLIS);
                startWorker(zone);
                Thread.sleep(ENTRY_REMAINS_MILLIS - DOWN_MILLIS);
                store.remove("servers/" + id);
            });
            return true;
        });
        synchronized (workers) {
            workers.add(worker);
        }
        worker.register();
    }
}
