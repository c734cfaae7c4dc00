import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry names an address that none can have, and is chosen for a second attempt (KNOWN-RED 26). */
final class ImpossibleAddressProgram extends Case {
    private static final String KEY = "ctnfzs989anu6wsjnban";

    private ImpossibleAddressProgram(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new ImpossibleAddressProgram(Path.of(args[0])));
    }

    @Override
    boolean play() throws Exception {
        Http.Server full = new Http.Server((request, socket, out) -> {
            String requestId = request.header("Request-Id");
            Http.respond(out, 503, "Not-Executed: 1\r\nRequest-Id: " + requestId + "\r\n", new byte[0]);
            return true;
        });
        workers.add(full);
        register("i-permit-0", full.address());
        String routes = route("r-status", "/status/", "safe", 1000, "permit-app", 2, false);
        configure(7, config(7, routes, plainService("permit-app"), 15000, "\"" + KEY + "\""));
        startRouters(3);
        if (trouble) {
            register("x-old", "127.0.0.300:8080");
        }
        Thread.sleep(1_500);
        AtomicInteger without = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (Router router : routers) {
            clients.add(Http.daemon(() -> {
                for (int i = 0; i < 6; i++) {
                    if (Caller.send(record, router, "GET /status/1", KEY, 4_000, "").status() < 0) {
                        without.incrementAndGet();
                    }
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        record.line(without + " of 18 requests had no answer 3 s after timeoutMs");
        return without.get() == 0;
    }

    private void register(String id, String address) {
        store.put(
                "servers/" + id,
                "{\"service\":\"permit-app\",\"address\":\"" + address + "\",\"zone\":\"" + ZONES[0]
                        + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,"
                        + "\"born\":1}");
    }
}
