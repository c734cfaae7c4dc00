import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** One worker answers long requests before it has read the whole body, keeps the channel and reads on later. */
final class EarlyAnswerCase extends Case {
    private static final String KEY = "ctnfzs989anu6wsjnban";
    // Below limits.bodyBytes, which is 4,194,304.
    private static final int BODY_BYTES = 4_000_000;
    // Links have small windows, so a peer that does not read blocks the writer.
    private static final int WINDOW_BYTES = 4_096;
    private static final int ROUTE_TIMEOUT_MILLIS = 2_000;
    private static final long READ_ON_AFTER_MILLIS = 4_000;
    private static final int UPLOADS_PER_ROUTER = 12;
    private static final double FINAL_ANSWER_AFTER_SECONDS = 0.5;
    private static final int MAX_WITHOUT_ANSWER = 7;

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger longer = new AtomicInteger();
    private final AtomicInteger withoutAnswer = new AtomicInteger();

    private EarlyAnswerCase(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new EarlyAnswerCase(Path.of(args[0])));
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < 3; i++) {
            startWorker("i-permit-" + i, ZONES[i], trouble && i == 0);
        }
        String routes = route("r-file", "/file/", "unsafe", ROUTE_TIMEOUT_MILLIS, "permit-app", 1, false);
        configure(7, config(7, routes, plainService("permit-app"), 15000, "\"" + KEY + "\""));
        startRouters(3);
        Thread.sleep(1_500);
        List<Thread> clients = new ArrayList<>();
        for (Router router : routers) {
            clients.add(Http.daemon(() -> {
                for (int i = 0; i < UPLOADS_PER_ROUTER; i++) {
                    upload(router);
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        record.line(served + " long requests answered whole by a worker, " + refused + " by the system; " + longer
                + " had no whole answer at timeoutMs, " + withoutAnswer + " of them none 0.5 s later");
        if (served.get() + withoutAnswer.get() == 0) {
            throw new IllegalStateException("no request was passed on");
        }
        return withoutAnswer.get() <= MAX_WITHOUT_ANSWER || withoutAnswer.get() * 4 <= longer.get();
    }

    private void startWorker(String id, String zone, boolean answersEarly) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(WINDOW_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        workers.add(listener);
        store.put(
                "servers/" + id,
                "{\"service\":\"permit-app\",\"address\":\"127.0.0.1:" + listener.getLocalPort() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,"
                        + "\"born\":" + System.currentTimeMillis() + "}");
        Http.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                Http.daemon(() -> serve(id, socket, answersEarly));
            }
        });
    }

    private void serve(String id, Socket socket, boolean answersEarly) throws Exception {
        try (socket) {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            StringBuilder head = new StringBuilder();
            while (!head.toString().endsWith("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    return;
                }
                head.append((char) next);
            }
            String requestId = header(head.toString(), "Request-Id");
            String length = header(head.toString(), "Content-Length");
            int bytes = length == null ? 0 : Integer.parseInt(length);
            record.ran(requestId);
            record.line("worker " + id + ": runs " + requestId + ", body of " + bytes + " bytes");
            boolean early = answersEarly && bytes == BODY_BYTES;
            if (!early) {
                in.readNBytes(bytes);
            }
            out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId
                            + "\r\nResponse-Signature: 3e1b.07.5a2.5.0.c9f2a4d1\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "5\r\nfiled\r\n0\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            record.line("worker " + id + ": has answered " + requestId + " whole"
                    + (early ? ", before it has read the body" : ""));
            if (early) {
                Thread.sleep(READ_ON_AFTER_MILLIS);
                int read = in.readNBytes(bytes).length;
                record.line("worker " + id + ": has read on, " + read + " bytes of the body of " + requestId);
            }
            // The channel stays open until its other end closes it.
            while (in.read() >= 0) {
                record.line("worker " + id + ": further bytes");
            }
        }
    }

    private static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase().startsWith(name.toLowerCase() + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return null;
    }

    /** Sends a short request and then a long one on the same channel. */
    private void upload(Router router) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", router.callerPort)) {
            socket.setSoTimeout(6_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            if (!exchange(router, socket, in, 100)) {
                throw new IllegalStateException("the short request was not served");
            }
            exchange(router, socket, in, BODY_BYTES);
        }
    }

    private boolean exchange(Router router, Socket socket, InputStream in, int bytes) throws Exception {
        String id = Caller.newId();
        double startSeconds = record.seconds();
        OutputStream out = socket.getOutputStream();
        out.write(("POST /file/1 HTTP/1.1\r\nHost: permits.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 5000\r\n"
                        + "Authorization: Token " + KEY + "\r\nContent-Length: " + bytes + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(new byte[bytes]);
        out.flush();
        record.line("client: " + id + " sent to " + router.name + ", body of " + bytes + " bytes");
        Http.Message answer = null;
        String end;
        try {
            answer = Http.read(in, true);
            end = answer == null ? "closed without an answer" : answer.complete ? "whole" : "closed inside the answer";
        } catch (SocketTimeoutException e) {
            end = "no answer within 6 s";
        } catch (IOException e) {
            end = "closed without an answer";
        }
        record.line("client: " + id + (answer == null ? " " : " answered " + answer.status() + ", ") + end);
        boolean whole = answer != null && answer.complete;
        boolean byWorker = whole && answer.header("Response-Signature") != null;
        if (bytes == BODY_BYTES) {
            double tookSeconds = record.seconds() - startSeconds;
            double timeoutSeconds = ROUTE_TIMEOUT_MILLIS / 1_000.0;
            if (whole) {
                (byWorker ? served : refused).incrementAndGet();
            }
            if (!whole || tookSeconds > timeoutSeconds) {
                longer.incrementAndGet();
            }
            if (!whole || tookSeconds > timeoutSeconds + FINAL_ANSWER_AFTER_SECONDS) {
                withoutAnswer.incrementAndGet();
            }
        }
        return byWorker;
    }
}
