import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client that sends each request on a new channel. */
final class Client {
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

    /** What came back: a status, or 0 with the reason where no whole answer came. */
    record Answer(String id, int status, Http.Message message, String failure) {
        boolean isSigned() {
            return message != null && message.header("Response-Signature") != null;
        }
    }

    private Client() {}

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    /** Sends a request and waits for its whole answer. */
    static Answer send(int port, String method, String host, String path, String key, long deadlineMillis,
            String extraHeaders, byte[] body) {
        return send(newId(), port, method, host, path, key, deadlineMillis, extraHeaders, body);
    }

    static Answer send(String id, int port, String method, String host, String path, String key, long deadlineMillis,
            String extraHeaders, byte[] body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) deadlineMillis + 1_500);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id
                    + "\r\nDeadline-Ms: " + deadlineMillis + "\r\nAuthorization: Token " + key + "\r\n" + extraHeaders
                    + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
            socket.getOutputStream().write(concat(head.getBytes(StandardCharsets.ISO_8859_1), body));
            Http.Message message = Http.readResponse(Http.buffered(socket.getInputStream()));
            return new Answer(id, message.status(), message, "");
        } catch (IOException e) {
            return new Answer(id, 0, null, e.toString());
        }
    }

    private static byte[] concat(byte[] first, byte[] second) {
        byte[] all = new byte[first.length + second.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }
}
