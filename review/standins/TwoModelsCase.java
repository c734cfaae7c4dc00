import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The workers of one service have two models; new weights are named first for one of them, then for the other. */
final class TwoModelsCase extends Case {
    private static final String KEY = "ctnfzs989anu6wsjnban";
    private static final String FIRST = "daka510000";
    private static final String SECOND = "daka520000";
    private static final int ENGINES = 4;
    /** Bound of abw-aargau. */
    private static final long VERSION_MILLIS = 15_000;

    private TwoModelsCase(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new TwoModelsCase(Path.of(args[0])));
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < ENGINES; i++) {
            Engine engine =
                    new Engine(record, store, "i-lm-" + i, "lm-pool", ZONES[i % 3], 32, Map.of(FIRST, 1L, SECOND, 1L));
            workers.add(engine);
            engine.register();
        }
        name(FIRST, 1);
        name(SECOND, 1);
        String routes = route("r-check", "/check/", "streaming", 6000, "lm-pool", 2, true);
        String service = "{\"name\":\"lm-pool\",\"healthPath\":\"/health\",\"connectionLimit\":230,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":32,\"cacheTokens\":186924,\"cacheTokenBytes\":18432,"
                + "\"linkMbps\":88000.0,\"models\":[{\"name\":\"" + FIRST + "\"},{\"name\":\"" + SECOND + "\"}]}}";
        configure(7, config(7, routes, service, 15000, "\"" + KEY + "\""));
        startRouters(3);
        Thread.sleep(1_500);
        Map<String, AtomicInteger> asked = new TreeMap<>();
        Map<String, AtomicInteger> served = new TreeMap<>();
        double end = record.seconds() + 20 + VERSION_MILLIS * 1.5 / 1_000;
        List<Thread> clients = new ArrayList<>();
        for (String model : List.of(FIRST, SECOND)) {
            asked.put(model, new AtomicInteger());
            served.put(model, new AtomicInteger());
            for (Router router : routers) {
                clients.add(Http.daemon(() -> {
                    while (record.seconds() < end) {
                        asked.get(model).incrementAndGet();
                        if (check(router, model)) {
                            served.get(model).incrementAndGet();
                        }
                        Thread.sleep(200);
                    }
                }));
            }
        }
        if (trouble) {
            Thread.sleep(3_000);
            name(SECOND, 2);
            // Well over the time that the workers take to load one after another, two at a time.
            Thread.sleep(14_000);
            name(FIRST, 2);
        }
        for (Thread client : clients) {
            client.join();
        }
        long newest = trouble ? 2 : 1;
        int outdated = 0;
        for (AutoCloseable worker : workers) {
            Engine engine = (Engine) worker;
            record.line("at the end " + engine.id + " has " + FIRST + " " + engine.version(FIRST) + " and " + SECOND + " "
                    + engine.version(SECOND));
            outdated += engine.version(FIRST) < newest || engine.version(SECOND) < newest ? 1 : 0;
        }
        asked.forEach((model, count) -> record.line(model + ": " + served.get(model) + " of " + count + " served"));
        record.line(outdated + " of " + ENGINES + " workers have an older version");
        return !(outdated > 1 && outdated > ENGINES * 0.1);
    }

    private void name(String model, long version) {
        store.put("op/version/" + model, "{\"model\":\"" + model + "\",\"version\":" + version + "}");
        record.line("operator: " + model + " " + version + " is acknowledged");
    }

    private boolean check(Router router, String model) {
        String headers = "Authorization: Token " + KEY + "\r\nModel: " + model
                + "\r\nToken-Count: 300,8\r\nPrompt-Prefix: 5c1e07a2:200,91bd3f06:100\r\n";
        Caller.Answer answer = Caller.send(record, router, Caller.newId(), "POST /check/1", headers, 6_000, "check");
        return answer.signed() && answer.status() == 200 && answer.complete();
    }
}
