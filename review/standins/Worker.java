import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a plain worker: runs requests in slots, echoes the id, signs its answers, checks the expected instance. */
final class Worker implements AutoCloseable {
    private final Record record;
    private final Store store;
    final String id;
    private final String service;
    private final String zone;
    private final int slots;
    private final Semaphore free;
    private final AtomicInteger run = new AtomicInteger();
    private final long workMillis;
    private volatile RunListener listener = request -> false;
    private volatile double busyShare;
    private final long bornMillis = System.currentTimeMillis();
    private final Http.Server server;

    Worker(Record record, Store store, String id, String service, String zone, int slots, long workMillis)
            throws IOException {
        this.record = record;
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.free = new Semaphore(slots);
        this.workMillis = workMillis;
        this.server = new Http.Server(this::handle);
    }

    /** What a worker does when it begins to run a request; returns true when it has crashed. */
    interface RunListener {
        boolean begins(Http.Message request) throws Exception;
    }

    void onRequest(RunListener newListener) {
        listener = newListener;
    }

    /** From now on, a share of the requests that were run is answered with the worker's own 503. */
    void failAfterRun(double share) {
        busyShare = share;
        record.line("worker " + id + ": answers " + Math.round(share * 100) + " % of what it has run with its own 503");
    }

    /** Registers in the store. */
    void register() {
        store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":" + slots
                        + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":" + bornMillis + "}");
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String requestId = request.header("Request-Id");
        String expected = request.header("Expected-Instance");
        if (requestId == null) {
            Http.respond(out, 400, "Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        if (expected != null && !expected.equals(id)) {
            record.line("worker " + id + ": refuses " + requestId + ", expected " + expected);
            Http.respond(out, 421, "Instance-Id: " + id + "\r\nRequest-Id: " + requestId + "\r\n", new byte[0]);
            return true;
        }
        free.acquire();
        try {
            record.ran(requestId);
            record.line("worker " + id + ": runs " + requestId + " " + request.startLine);
            if (listener.begins(request)) {
                return false;
            }
            Thread.sleep(workMillis);
        } finally {
            free.release();
        }
        int status = isChosen(run.getAndIncrement()) ? 503 : 200;
        record.line("worker " + id + ": has run " + requestId + ", answers " + status);
        Http.respond(
                out,
                status,
                "Request-Id: " + requestId + "\r\nResponse-Signature: 3e1b.07.5a2.12.0." + requestId
                        + "\r\nServer-Load: " + (slots - free.availablePermits()) + ",0," + slots + "\r\n",
                ("done " + requestId).getBytes());
        return true;
    }

    // Spreads the share evenly over the numbers.
    private boolean isChosen(int number) {
        return Math.floor((number + 1) * busyShare) > Math.floor(number * busyShare);
    }

    void crash() throws IOException {
        record.line("worker " + id + ": crashes");
        server.crash();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
