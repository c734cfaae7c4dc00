import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Many requests with a large body, which the limits allow, are in flight at one router (KNOWN-RED 24). */
final class LargeBodiesProgram extends Case {
    private static final String KEY = "ctnfzs989anu6wsjnban";

    private LargeBodiesProgram(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new LargeBodiesProgram(Path.of(args[0])));
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < 3; i++) {
            Worker worker = new Worker(record, store, "i-permit-" + i, "permit-app", ZONES[i], 60, 2_500);
            workers.add(worker);
            worker.register();
        }
        String routes = route("r-file", "/file/", "unsafe", 5000, "permit-app", 1, false);
        configure(7, config(7, routes, plainService("permit-app"), 15000, "\"" + KEY + "\""));
        startRouters(1);
        Thread.sleep(1_500);
        String body = "a".repeat(4_000_000);
        AtomicInteger denied = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        int count = trouble ? 48 : 16;
        for (int i = 0; i < count; i++) {
            clients.add(Http.daemon(() -> {
                int status = Caller.send(record, routers.get(0), "POST /file/1", KEY, 5_000, body).status();
                if (status == 400) {
                    denied.incrementAndGet();
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        record.line(denied + " of " + count + " proper requests were answered 400");
        return denied.get() <= 5;
    }
}
