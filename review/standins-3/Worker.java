import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a worker: one thread for each connection. */
final class Worker implements AutoCloseable {
    /** A request as it arrived. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String id() {
            return header("request-id");
        }
    }

    /** Runs a request and writes its answer. */
    interface Handler {
        void handle(Worker worker, Request request, Socket socket, OutputStream out) throws Exception;
    }

    final String id;
    final String service;
    final long born = System.currentTimeMillis();
    final AtomicInteger running = new AtomicInteger();
    final Set<Socket> open = ConcurrentHashMap.newKeySet();
    volatile Handler handler;
    volatile Handler orders;
    volatile String state = "ready";
    volatile String model;
    volatile long version = 1;
    volatile long sequence;
    volatile boolean busy;
    /** Whether the worker is silent: it takes connections and answers nothing. */
    volatile boolean dark;
    private final ServerSocket server;
    private final int slots;

    Worker(String id, String service, int slots, Handler handler) throws IOException {
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.handler = handler;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        start("worker-" + id, this::accept);
    }

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The worker's entry in the store. */
    ObjectNode entry() {
        ObjectNode entry = Store.MAPPER.createObjectNode();
        entry.put("service", service).put("address", address()).put("zone", "zone-a").put("version", "v1");
        entry.put("slots", slots).put("state", state).put("coldRemainingMs", 0).put("stage", "both");
        models(entry);
        entry.put("sequence", sequence).put("born", born);
        return entry;
    }

    private void models(ObjectNode node) {
        if (model != null) {
            node.putArray("models").addObject().put("name", model).put("version", version).putArray("adapters");
        } else {
            node.putArray("models");
        }
    }

    /** Reports to the store every 1.2 s. */
    void report(Store store) {
        store.put("servers/" + id, entry());
        start("beat-" + id, () -> {
            while (!server.isClosed()) {
                sleep(1_200);
                if (!server.isClosed() && !dark) {
                    store.put("servers/" + id, entry());
                }
            }
        });
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                start("connection-" + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Request request = read(in); request != null; request = read(in)) {
                answer(request, socket, out);
            }
        } catch (Exception e) {
            // The connection has ended.
        } finally {
            open.remove(socket);
        }
    }

    private void answer(Request request, Socket socket, OutputStream out) throws Exception {
        while (dark) {
            sleep(100);
            if (socket.isClosed()) {
                return;
            }
        }
        String expected = request.header("expected-instance");
        if (expected != null && !expected.equals(id)) {
            write(out, 421, "Instance-Id: " + id + "\r\n", new byte[0]);
        } else if (request.target().equals("/health")) {
            write(out, state.equals("ready") ? 200 : 503, "Instance-Id: " + id + "\r\n", new byte[0]);
        } else if (request.target().equals("/api/report")) {
            ObjectNode report = Store.MAPPER.createObjectNode().put("stage", "both");
            models(report);
            report.put("busy", busy).put("sequence", sequence).put("waiting", 0).put("running", running.get());
            report.put("cacheUsed", 0).put("cacheTotal", 190_000).put("handles", 0).put("born", born);
            write(out, 200, "Content-Type: application/json\r\n", Store.MAPPER.writeValueAsBytes(report));
        } else if (request.target().equals("/api/order")) {
            orders.handle(this, request, socket, out);
        } else {
            running.incrementAndGet();
            try {
                handler.handle(this, request, socket, out);
            } finally {
                running.decrementAndGet();
            }
        }
    }

    /** Writes an answer with a length. */
    static void write(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Answers a request that ran. */
    static void ok(Request request, OutputStream out, String body) throws IOException {
        write(
                out,
                200,
                "Request-Id: " + request.id() + "\r\nResponse-Signature: s-" + request.id() + "\r\n",
                body.getBytes(StandardCharsets.UTF_8));
    }

    static Request read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null || line.isEmpty()) {
            return null;
        }
        String[] parts = line.split(" ", 3);
        Map<String, String> headers = new TreeMap<>();
        for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
        }
        byte[] body = new byte[0];
        if (headers.containsKey("content-length")) {
            body = in.readNBytes(Integer.parseInt(headers.get("content-length")));
        } else if ("chunked".equals(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                all.write(in.readNBytes(size));
                line(in);
            }
            line(in);
            body = all.toByteArray();
        }
        return new Request(parts[0], parts[1], headers, body);
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Ends as a process that is killed: its connections are reset. */
    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
