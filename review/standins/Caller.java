import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of a client: sends one request on a new channel and waits for the answer within the deadline. */
final class Caller {
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffffL);

    private Caller() {}

    /** An answer; status 0 when the channel ended without one, -1 when none came within the deadline. */
    record Answer(String id, int status, boolean complete, boolean signed, String text, double tookSeconds) {
        /** Whether the status comes from the system itself and not from a worker. */
        boolean isOwn() {
            return status > 0 && !signed;
        }
    }

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    static Answer send(Record record, Router router, String head, String key, int deadlineMillis, String body) {
        return send(record, router, newId(), head, "Authorization: Token " + key + "\r\n", deadlineMillis, body);
    }

    static Answer send(
            Record record, Router router, String id, String requestLine, String headers, int deadlineMillis, String body) {
        long start = System.nanoTime();
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = requestLine + " HTTP/1.1\r\nHost: permits.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                + deadlineMillis + "\r\n" + headers
                + (requestLine.startsWith("GET") ? "" : "Content-Length: " + bytes.length + "\r\n") + "\r\n";
        record.line("client: " + id + " " + requestLine + " to " + router.name);
        Answer answer;
        try (Socket socket = new Socket("127.0.0.1", router.callerPort)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(deadlineMillis);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(bytes);
            Http.Message response = Http.read(new BufferedInputStream(socket.getInputStream()), true);
            double took = (System.nanoTime() - start) / 1e9;
            answer = response == null
                    ? new Answer(id, 0, false, false, "", took)
                    : new Answer(
                            id,
                            response.status(),
                            response.complete,
                            response.header("Response-Signature") != null,
                            response.text(),
                            took);
        } catch (SocketTimeoutException e) {
            answer = new Answer(id, -1, false, false, "", (System.nanoTime() - start) / 1e9);
        } catch (IOException e) {
            answer = new Answer(id, 0, false, false, e.toString(), (System.nanoTime() - start) / 1e9);
        }
        record.line("client: " + id + " answered " + answer.status() + (answer.signed() ? " by a worker" : " by the system")
                + (answer.complete() ? "" : " incomplete") + (answer.isOwn() ? " " + answer.text() : ""));
        return answer;
    }
}
