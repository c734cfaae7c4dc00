import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Minimal HTTP/1.1 over blocking sockets, for stand-ins that need full control over what goes over a connection. */
final class Http {
    private Http() {}

    /** A request or a response. */
    static final class Message {
        String startLine = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        /** Whether the body has ended as its framing states; false when the connection ended before. */
        boolean complete = true;

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message; returns null when the connection ends before its first byte. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        Message message = new Message();
        String line = line(in);
        if (line == null) {
            return null;
        }
        message.startLine = line;
        while (true) {
            line = line(in);
            if (line == null) {
                throw new IOException("the connection ended inside a head");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        throw new IOException("the connection ended between chunks");
                    }
                    int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                    copy(in, body, length);
                    if (length == 0) {
                        while (!"".equals(line(in))) {
                            // Trailers are ignored.
                        }
                        break;
                    }
                    line(in);
                }
            } else if (message.header("Content-Length") != null) {
                copy(in, body, Integer.parseInt(message.header("Content-Length")));
            } else if (isResponse) {
                int next = in.read();
                while (next >= 0) {
                    body.write(next);
                    next = in.read();
                }
            }
        } catch (IOException e) {
            message.complete = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        out.write(bytes);
        if (bytes.length < length) {
            throw new IOException("the connection ended inside a body");
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Serves the requests of one connection, one after another. */
    interface Handler {
        /** Responds to a request; returns false when the connection is to be closed. */
        boolean handle(Message request, Socket socket, OutputStream out) throws Exception;
    }

    /** A server on a loopback port, with a thread for each connection. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(Handler handler) throws IOException {
            this(0, handler);
        }

        Server(int port, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
            daemon(() -> {
                while (!listener.isClosed()) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    daemon(() -> serve(socket, handler));
                }
            });
        }

        private void serve(Socket socket, Handler handler) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                Message request = read(in, false);
                while (request != null && handler.handle(request, socket, out)) {
                    request = read(in, false);
                }
            } finally {
                open.remove(socket);
            }
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        int port() {
            return listener.getLocalPort();
        }

        /** Ends all connections with a reset and listens no more, as a crash of the server does. */
        void crash() throws IOException {
            listener.close();
            for (Socket socket : open) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    /** Code that may fail; its failure ends only its thread. */
    interface Body {
        void run() throws Exception;
    }

    static Thread daemon(Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Exception e) {
                // A connection that breaks ends its thread; what was sent and received is in the record.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void respond(OutputStream out, int status, String headers, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }
}
