import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** For some seconds one worker fails a part of the requests that it has run, with a 503 without Not-Executed. */
final class RunThenBusyCase extends Case {
    private static final String KEY = "ctnfzs989anu6wsjnban";
    private static final int CLIENTS = 12;
    private static final long PAUSE_MILLIS = 300;
    private static final double TRAFFIC_SECONDS = 20;
    private static final double GREY_SHARE = 0.45;
    private static final long GREY_MILLIS = 6_500;

    private RunThenBusyCase(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new RunThenBusyCase(Path.of(args[0])));
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < 3; i++) {
            Worker worker = new Worker(record, store, "i-permit-" + i, "permit-app", ZONES[i], 6, 43);
            workers.add(worker);
            worker.register();
        }
        String routes = route("r-file", "/file/", "unsafe", 1000, "permit-app", 1, false);
        configure(7, config(7, routes, plainService("permit-app"), 15000, "\"" + KEY + "\""));
        startRouters(3);
        double end = record.seconds() + TRAFFIC_SECONDS;
        AtomicInteger notRunThoughRun = new AtomicInteger();
        AtomicInteger filedTwice = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Http.daemon(() -> {
                for (int k = 0; record.seconds() < end; k++) {
                    file("permit-" + number + "-" + k, routers.get(number % 3), routers.get((number + 1) % 3), sent,
                            notRunThoughRun, filedTwice);
                    Thread.sleep(PAUSE_MILLIS);
                }
            }));
        }
        Thread.sleep(5_000);
        if (trouble) {
            ((Worker) workers.get(0)).failAfterRun(GREY_SHARE);
        }
        Thread.sleep(GREY_MILLIS);
        if (trouble) {
            ((Worker) workers.get(0)).failAfterRun(0);
        }
        for (Thread client : clients) {
            client.join();
        }
        record.line(sent + " requests; " + notRunThoughRun + " answered 429 or 503 that had run; " + filedTwice
                + " renewals run twice, because the client took the promise and sent them again");
        return notRunThoughRun.get() == 0;
    }

    // A client sends an unsafe request again, as a new request, only after the promise that it has not run.
    private void file(
            String renewal,
            Router first,
            Router second,
            AtomicInteger sent,
            AtomicInteger notRunThoughRun,
            AtomicInteger filedTwice) {
        int runs = 0;
        for (Router router : new Router[] {first, second}) {
            sent.incrementAndGet();
            Caller.Answer answer = Caller.send(record, router, "POST /file/" + renewal, KEY, 1000, renewal);
            boolean ran = record.hasRun(answer.id());
            runs += ran ? 1 : 0;
            boolean promised = answer.status() == 503 || answer.status() == 429;
            if (promised && ran) {
                notRunThoughRun.incrementAndGet();
                record.line("client: " + answer.id() + " was answered " + answer.status() + " and has run");
            }
            if (!promised) {
                break;
            }
        }
        if (runs > 1) {
            filedTwice.incrementAndGet();
            record.line("client: the renewal " + renewal + " was run " + runs + " times");
        }
    }
}
