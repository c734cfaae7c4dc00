import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** The platform raises graceS by a change of the settings and SIGHUP; later it stops the router with SIGTERM. */
public final class GraceCase {
    private static final int OLD_GRACE_SECONDS = 8;
    private static final int NEW_GRACE_SECONDS = 20;
    private static final int STREAMS = 6;
    private static final int EVENTS = 18;
    private static final int EVENT_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 10_000;

    private GraceCase() {}

    public static void main(String[] arguments) {
        Case.run(arguments, GraceCase::run);
    }

    private static int run(Record record, Path folder, boolean trouble) throws Exception {
        Store store = new Store(1);
        store.put(
                "op/config",
                new Setup(7, 15_000).route("/stream/", "streaming", "app", 1, DEADLINE_MILLIS, false).service("app").build());
        Worker worker = new Worker("i-w1", "app", 32, (self, request, socket, out) -> stream(record, request, out));
        worker.report(store);
        AtomicInteger lost = new AtomicInteger();
        boolean ran = false;
        try (Router router = new Router(
                "front-a-1", folder, store.open().port(), trouble ? OLD_GRACE_SECONDS : NEW_GRACE_SECONDS)) {
            router.awaitReady();
            record.add("the router is ready; graceS is " + (trouble ? OLD_GRACE_SECONDS : NEW_GRACE_SECONDS));
            if (trouble) {
                router.writeSettings(NEW_GRACE_SECONDS);
                router.signal("HUP");
                record.add("the settings say graceS " + NEW_GRACE_SECONDS + " now; SIGHUP sent");
            }
            Worker.sleep(5_000);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                String id = "stream-" + i;
                clients.add(Worker.start(id, () -> call(record, router, id, lost)));
            }
            Worker.sleep(500);
            ran = worker.running.get() == STREAMS;
            long stopped = record.millis();
            router.signal("TERM");
            record.add("SIGTERM sent; the platform would kill the process " + NEW_GRACE_SECONDS + " s later");
            boolean ended = router.awaitEnd(NEW_GRACE_SECONDS * 1_000L);
            record.add(ended ? "the process ended after " + (record.millis() - stopped) + " ms" : "the process was killed");
            for (Thread client : clients) {
                client.join(20_000);
            }
            String log = router.log();
            log.lines().filter(line -> line.contains("settings_") || line.contains("=stop")).forEach(record::add);
        }
        record.add("channels that ended without a complete answer: " + lost.get() + " of " + STREAMS);
        return !ran ? Case.NOT_RUN : lost.get() > 0 ? Case.BROKEN : Case.HELD;
    }

    private static void call(Record record, Router router, String id, AtomicInteger lost) {
        try (Client client = new Client(router.callers, 30_000)) {
            record.add("client sends " + id);
            Client.Answer answer =
                    client.call("POST", "/stream/a", Setup.HOST, Setup.headers(id, DEADLINE_MILLIS), new byte[] {'x'});
            record.add("client got for " + id + ": " + answer);
            if (!answer.complete()) {
                lost.incrementAndGet();
            }
        } catch (Exception e) {
            record.add("client failed for " + id + ": " + e);
            lost.incrementAndGet();
        }
    }

    private static void stream(Record record, Worker.Request request, java.io.OutputStream out) throws Exception {
        record.add("worker begins to run " + request.id());
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + request.id()
                        + "\r\nResponse-Signature: s-" + request.id() + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (int event = 1; event <= EVENTS; event++) {
            Worker.sleep(EVENT_MILLIS);
            String text = "id: " + event + "\ndata: piece\n\n";
            try {
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
            } catch (java.io.IOException e) {
                record.add("worker's channel for " + request.id() + " was closed at event " + event);
                throw e;
            }
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
        record.add("worker has ended " + request.id());
    }
}
