import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of a client: one connection, which it keeps. */
final class Client implements AutoCloseable {
    /**
     * An answer.
     *
     * @param status 0 when the channel ended before a head
     * @param complete whether the answer ended as its head states
     */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        boolean closes() {
            return status == 0 || !complete || "close".equalsIgnoreCase(headers.get("connection"));
        }

        @Override
        public String toString() {
            return status == 0 ? "channel closed" : status + (complete ? " complete " : " broken off ") + body.length + " bytes";
        }
    }

    final Socket socket = new Socket();
    private final InputStream in;
    final OutputStream out;

    Client(String address, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    void send(String method, String target, String host, String headers, byte[] body) throws IOException {
        String length = body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write((method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers + length + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Reads the next answer; a time-out is an answer that never came. */
    Answer receive() {
        Map<String, String> headers = new TreeMap<>();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        try {
            String line = Worker.line(in);
            if (line == null) {
                return new Answer(0, headers, body.toByteArray(), false);
            }
            int stated = Integer.parseInt(line.split(" ", 3)[1]);
            for (String field = Worker.line(in); field != null && !field.isEmpty(); field = Worker.line(in)) {
                int colon = field.indexOf(':');
                headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
            }
            status = stated;
            if (headers.containsKey("content-length")) {
                int length = Integer.parseInt(headers.get("content-length"));
                while (body.size() < length) {
                    int next = in.read();
                    if (next < 0) {
                        return new Answer(status, headers, body.toByteArray(), false);
                    }
                    body.write(next);
                }
                return new Answer(status, headers, body.toByteArray(), true);
            }
            if ("chunked".equals(headers.get("transfer-encoding"))) {
                for (int size = size(); size > 0; size = size()) {
                    byte[] chunk = in.readNBytes(size);
                    body.write(chunk);
                    if (chunk.length < size) {
                        return new Answer(status, headers, body.toByteArray(), false);
                    }
                    Worker.line(in);
                }
                return new Answer(status, headers, body.toByteArray(), Worker.line(in) != null);
            }
            body.write(in.readAllBytes());
            return new Answer(status, headers, body.toByteArray(), true);
        } catch (IOException | RuntimeException e) {
            return new Answer(status, headers, body.toByteArray(), false);
        }
    }

    private int size() throws IOException {
        String line = Worker.line(in);
        if (line == null) {
            throw new IOException("the channel ended inside the answer");
        }
        return Integer.parseInt(line.split(";")[0].trim().toLowerCase(Locale.ROOT), 16);
    }

    Answer call(String method, String target, String host, String headers, byte[] body) throws IOException {
        send(method, target, host, headers, body);
        return receive();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
