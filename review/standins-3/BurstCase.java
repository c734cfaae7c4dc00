import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A burst of requests whose heads have many short fields, within the limit of the bytes of a head. */
public final class BurstCase {
    private static final int USUAL = 380;
    private static final double BURST = 1.7;
    private static final int HEAD_BYTES = 12_000;
    private static final int DEADLINE_MILLIS = 10_000;
    private static final int WORK_MILLIS = 6_000;
    private static final int PROBES = 12;
    private static final int PROBE_TIMEOUT_MILLIS = 2_000;
    private static final int LATE_MILLIS = 500;
    private static final int LATE_ALLOWED = 7;
    private static final int LATE_ALLOWED_ONE_IN = 4;

    private BurstCase() {}

    public static void main(String[] arguments) {
        Case.run(arguments, BurstCase::run);
    }

    private static int run(Record record, Path folder, boolean trouble) throws Exception {
        int clients = trouble ? (int) Math.round(USUAL * BURST) : USUAL;
        Store store = new Store(1);
        store.put(
                "op/config",
                new Setup(7, 15_000)
                        .route("/ask/", "unsafe", "app", 1, DEADLINE_MILLIS, false)
                        .route("/look/", "safe", "other", 1, PROBE_TIMEOUT_MILLIS, false)
                        .service("app")
                        .service("other")
                        .build());
        AtomicInteger runs = new AtomicInteger();
        AtomicInteger lasting = new AtomicInteger();
        AtomicInteger lateOfBurst = new AtomicInteger();
        AtomicLong lastSent = new AtomicLong();
        Worker.Handler handler = (worker, request, socket, out) -> {
            runs.incrementAndGet();
            Worker.sleep(request.target().startsWith("/ask/") ? WORK_MILLIS : 20);
            Worker.ok(request, out, "{}");
        };
        for (int i = 0; i < 6; i++) {
            new Worker("i-w" + i, "app", 230, handler).report(store);
        }
        new Worker("i-o", "other", 230, handler).report(store);
        String fields = fields(record);
        Map<String, AtomicInteger> answers = new ConcurrentSkipListMap<>();
        int late = 0;
        try (Router router = new Router("front-a-1", folder, store.open().port(), 8)) {
            router.awaitReady();
            Worker.sleep(1_500);
            record.add("the router is ready; it gets " + clients + " requests at once");
            long began = System.nanoTime();
            List<Thread> all = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                String id = "ask-" + i;
                all.add(Worker.start(id, () -> ask(router, id, fields, answers, lasting, lateOfBurst, lastSent)));
            }
            for (Thread client : all) {
                client.join(20_000);
            }
            record.add("answers: " + answers + "; runs: " + runs);
            record.add("the last request was sent after " + (lastSent.get() - began) / 1_000_000 + " ms");
            record.add("unanswered at the route's timeout: " + lasting + "; of these without an answer " + LATE_MILLIS
                    + " ms later: " + lateOfBurst);
            Worker.sleep(10_000);
            record.add("after 10 s without requests the router is " + (router.isAlive() ? "alive" : "gone")
                    + (router.isReady() ? " and ready" : " and not ready"));
            List<Thread> probes = new ArrayList<>();
            AtomicInteger unanswered = new AtomicInteger();
            for (int i = 0; i < PROBES; i++) {
                String id = "look-" + i;
                probes.add(Worker.start(id, () -> look(record, router, id, unanswered)));
                Worker.sleep(200);
            }
            for (Thread probe : probes) {
                probe.join(10_000);
            }
            late = unanswered.get();
            record.add("not answered " + LATE_MILLIS + " ms after the route's timeout: " + late + " of " + PROBES
                    + "; the router is " + (router.isAlive() ? "alive" : "gone"));
            router.log().lines().filter(line -> line.contains("OutOfMemoryError")).distinct().limit(8).forEach(record::add);
        }
        boolean burstBroken =
                lateOfBurst.get() > LATE_ALLOWED && lateOfBurst.get() * LATE_ALLOWED_ONE_IN > lasting.get();
        return runs.get() < USUAL ? Case.NOT_RUN : burstBroken || late > LATE_ALLOWED ? Case.BROKEN : Case.HELD;
    }

    private static String fields(Record record) {
        StringBuilder fields = new StringBuilder();
        int count = 0;
        while (fields.length() < HEAD_BYTES) {
            fields.append((char) ('a' + count % 26)).append(count % 7 == 0 ? "x" : "").append(":\r\n");
            count++;
        }
        record.add("each head has " + count + " short fields, " + fields.length() + " bytes; headerBytes is 16,384");
        return fields.toString();
    }

    private static void ask(
            Router router,
            String id,
            String fields,
            Map<String, AtomicInteger> answers,
            AtomicInteger lasting,
            AtomicInteger late,
            AtomicLong lastSent) {
        String result;
        try (Client client = new Client(router.callers, DEADLINE_MILLIS + LATE_MILLIS)) {
            byte[] body = "question".getBytes(StandardCharsets.US_ASCII);
            client.send("POST", "/ask/" + id, Setup.HOST, Setup.headers(id, DEADLINE_MILLIS) + fields, body);
            long sent = System.nanoTime();
            lastSent.accumulateAndGet(sent, Math::max);
            Client.Answer answer = client.receive();
            long millis = (System.nanoTime() - sent) / 1_000_000;
            boolean isLate = answer.status() == 0 && millis >= DEADLINE_MILLIS + LATE_MILLIS;
            lasting.addAndGet(millis >= DEADLINE_MILLIS ? 1 : 0);
            late.addAndGet(isLate ? 1 : 0);
            result = isLate ? "nothing" : answer.toString();
        } catch (Exception e) {
            result = "no channel";
        }
        answers.computeIfAbsent(result, key -> new AtomicInteger()).incrementAndGet();
    }

    private static void look(Record record, Router router, String id, AtomicInteger unanswered) {
        Client.Answer answer;
        try (Client client = new Client(router.callers, PROBE_TIMEOUT_MILLIS + LATE_MILLIS)) {
            answer = client.call(
                    "GET", "/look/" + id, Setup.HOST, Setup.headers(id, PROBE_TIMEOUT_MILLIS), new byte[0]);
        } catch (Exception e) {
            record.add("client got no channel for " + id + ": " + e);
            unanswered.incrementAndGet();
            return;
        }
        record.add("client got for " + id + ": " + (answer.status() == 0 ? "nothing" : answer));
        if (answer.status() == 0) {
            unanswered.incrementAndGet();
        }
    }
}
