import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A worker of a plain service: registers itself, checks in, and runs requests that take some milliseconds. */
final class Worker {
    static final long CHECK_IN_MILLIS = 1_200;
    private static final AtomicLong STARTS = new AtomicLong();

    private final Store store;
    private final Record record;
    private final String service;
    private final String zone;
    private final int slots;
    private final long workMillis;
    private final Listener listener;
    private final AtomicInteger running = new AtomicInteger();
    private volatile String id;
    private volatile long born;
    private volatile long checkedInMillis;
    private volatile boolean alive = true;
    private volatile RunListener runListener = (requestId, tenant) -> {};

    /** Hears of each request that begins to run. */
    interface RunListener {
        void runs(String requestId, String tenant);
    }

    Worker(Store store, Record record, String service, String zone, int slots, long workMillis) throws IOException {
        this.store = store;
        this.record = record;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMillis = workMillis;
        listener = new Listener(this::handle);
        boot();
        Listener.daemon(this::checkIn);
    }

    /** Hears of a crash by a request. */
    interface CrashListener {
        void crashed(String requestId);
    }

    private volatile String crashPath = "";
    private volatile long backMillis;
    private volatile CrashListener crashListener = requestId -> {};

    /** Crashes whenever it begins to run a request with this path, and is back some time later. */
    void crashOn(String path, long millisUntilBack, CrashListener listener) {
        crashPath = path;
        backMillis = millisUntilBack;
        crashListener = listener;
    }

    void onRun(RunListener newListener) {
        runListener = newListener;
    }

    String id() {
        return id;
    }

    private void boot() {
        id = "i-" + Long.toHexString(ThreadLocalRandom.current().nextLong(1L << 40));
        born = System.currentTimeMillis();
        alive = true;
        write();
    }

    private synchronized void write() {
        if (store.isDown()) {
            return;
        }
        checkedInMillis = System.currentTimeMillis();
        store.put(
                "servers/" + id,
                ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
                                + "\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":0,\"born\":%d}")
                        .formatted(service, listener.address(), zone, slots, born));
    }

    // The entry of a worker that is silent for three check-in intervals is removed.
    private void checkIn() {
        try {
            while (true) {
                Thread.sleep(20);
                long age = System.currentTimeMillis() - checkedInMillis;
                if (alive && !listener.isSilent() && age >= CHECK_IN_MILLIS) {
                    write();
                } else if (age >= 3 * CHECK_IN_MILLIS && store.has("servers/" + id)) {
                    store.remove("servers/" + id);
                    record.line("entry of %s removed after three silent intervals", id);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // The entry of the boot before.
    private void removeWhenSilent(String old, long fromMillis) {
        try {
            Thread.sleep(Math.max(0, fromMillis + 3 * CHECK_IN_MILLIS - System.currentTimeMillis()));
            store.remove("servers/" + old);
            record.line("entry of %s removed after three silent intervals", old);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Falls silent: answers nothing, on old and new channels. */
    void goDark() {
        record.line("worker %s goes dark", id);
        listener.goSilent();
    }

    /** Ends as a killed process. */
    void crash() {
        record.line("worker %s crashes", id);
        alive = false;
        listener.crash();
    }

    /** Starts again: a new boot with a new id at the same address. */
    void restart() throws IOException, InterruptedException {
        String old = id;
        long silentFromMillis = checkedInMillis;
        listener.restart();
        Listener.daemon(() -> removeWhenSilent(old, silentFromMillis));
        boot();
        record.line("worker %s starts where %s was", id, old);
    }

    private void comeBack() {
        try {
            Thread.sleep(backMillis);
            restart();
        } catch (IOException | InterruptedException e) {
            record.note("a worker could not start again: %s", e);
        }
    }

    private boolean handle(Http.Message request, OutputStream out) throws IOException, InterruptedException {
        String requestId = request.header("Request-Id");
        String expected = request.header("Expected-Instance");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Instance-Id", id);
        if (requestId != null) {
            headers.put("Request-Id", requestId);
        }
        if (expected != null && !expected.equals(id)) {
            out.write(Http.response(421, headers, new byte[0]));
            out.flush();
            return true;
        }
        if (request.target().equals("/health")) {
            out.write(Http.response(200, headers, new byte[0]));
            out.flush();
            return true;
        }
        String self = id;
        if (running.incrementAndGet() > slots) {
            running.decrementAndGet();
            headers.put("Not-Executed", "1");
            out.write(Http.response(503, headers, new byte[0]));
            out.flush();
            return true;
        }
        try {
            record.line("%s runs %s %s of tenant %s", self, requestId, request.target(), request.header("Tenant"));
            runListener.runs(requestId, request.header("Tenant"));
            if (request.target().equals(crashPath)) {
                crashListener.crashed(requestId);
                crash();
                Listener.daemon(this::comeBack);
                return false;
            }
            Thread.sleep(workMillis);
        } finally {
            running.decrementAndGet();
        }
        headers.put("Response-Signature", "s." + requestId);
        headers.put("Server-Load", running.get() + ",0," + slots);
        out.write(Http.response(200, headers, ("ok " + request.target()).getBytes(StandardCharsets.UTF_8)));
        out.flush();
        return true;
    }
}
