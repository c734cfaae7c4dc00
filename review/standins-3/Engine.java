import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Runs prompts and keeps their parts under the text of Cache-Salt, as the pages say of a worker. */
final class Engine implements Worker.Handler {
    private record Made(String request, String tenant) {}

    private final Record record;
    private final Map<String, Made> kept = new HashMap<>();

    Engine(Record record) {
        this.record = record;
    }

    @Override
    public void handle(Worker worker, Worker.Request request, Socket socket, OutputStream out) throws Exception {
        String expected = request.header("expected-version");
        if (expected != null && Long.parseLong(expected) != worker.version) {
            Worker.write(
                    out,
                    421,
                    "Request-Id: " + request.id() + "\r\nInstance-Id: " + worker.id + "\r\nWeight-Versions: "
                            + worker.version + "\r\n",
                    new byte[0]);
            return;
        }
        read(worker, request);
        String events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        Worker.write(
                out,
                200,
                "Content-Type: text/event-stream\r\nRequest-Id: " + request.id() + "\r\nResponse-Signature: s-"
                        + request.id() + "\r\nWeight-Versions: " + worker.version + "\r\n",
                events.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized void read(Worker worker, Worker.Request request) {
        String salt = request.headers().getOrDefault("cache-salt", "");
        String tenant = request.headers().getOrDefault("tenant", "");
        List<String> found = new ArrayList<>();
        boolean allBefore = true;
        for (String entry : request.header("prompt-prefix").split(",")) {
            String part = entry.substring(0, entry.indexOf(':'));
            String key = salt + "|" + request.header("model") + "|" + part;
            Made made = kept.get(key);
            allBefore &= made != null;
            if (allBefore) {
                found.add(part + " made by " + made.request() + " of " + made.tenant());
            } else {
                kept.put(key, new Made(request.id(), tenant));
            }
        }
        record.add("worker " + worker.id + " runs " + request.id() + " of " + tenant + ", salt " + salt + ", cached: " + found);
    }

    /** Carries out orders as a sound worker that checks no fences. */
    static Worker.Handler orders(Record record, List<String> accepted, long loadMillis) {
        return (worker, request, socket, out) -> {
            var order = Store.MAPPER.readTree(request.body());
            String holder = order.path("holder").asText();
            long token = order.path("fencingToken").asLong();
            int status;
            synchronized (worker) {
                boolean differs = order.has("precondition") && order.path("precondition").asLong() != worker.sequence;
                status = worker.busy || differs ? 409 : worker.version == order.path("version").asLong() ? 200 : 202;
                if (status == 202) {
                    worker.sequence++;
                    worker.busy = true;
                }
            }
            synchronized (accepted) {
                accepted.add(worker.id + " " + holder + " " + token + " " + status);
            }
            record.add("worker " + worker.id + " gets order of " + holder + ", epoch number " + token + ", version "
                    + order.path("version").asLong() + ": " + status);
            if (status == 202) {
                Worker.start("load-" + worker.id, () -> {
                    Worker.sleep(loadMillis);
                    worker.version = order.path("version").asLong();
                    worker.busy = false;
                });
            }
            Worker.write(out, status, "Content-Type: application/json\r\n", new byte[0]);
        };
    }
}
