import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * A link from one router to one server, as a proxy that can be cut.
 *
 * <p>While it is cut, nothing passes in either direction. What a connection that was there before has sent is under way
 * until the link heals and TCP sends it again, unless its sender resets the connection. Connections that are opened
 * while the link is cut carry nothing.
 */
final class Link {
    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Cut cut;
    private final Consumer<String> onSent;

    /** The state of all links of one router. */
    static final class Cut {
        private boolean isCut;

        synchronized void begin() {
            isCut = true;
        }

        synchronized void heal() {
            isCut = false;
            notifyAll();
        }

        private synchronized boolean isCut() {
            return isCut;
        }

        private synchronized void awaitHealed() throws InterruptedException {
            while (isCut) {
                wait();
            }
        }
    }

    /**
     * Creates a link.
     *
     * @param onSent is shown what the router sends before it is passed on
     */
    Link(String target, Cut cut, Consumer<String> onSent) throws IOException {
        int colon = target.indexOf(':');
        this.target = new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
        this.cut = cut;
        this.onSent = onSent;
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Listener.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket client = server.accept();
                Listener.daemon(() -> connect(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket client) {
        try {
            if (cut.isCut()) {
                cut.awaitHealed();
                reset(client);
                return;
            }
            Socket upstream = new Socket();
            upstream.connect(target, 1_000);
            client.setTcpNoDelay(true);
            upstream.setTcpNoDelay(true);
            Listener.daemon(() -> pump(client, upstream, true));
            pump(upstream, client, false);
        } catch (IOException | InterruptedException e) {
            reset(client);
        }
    }

    private void pump(Socket from, Socket to, boolean isRequest) {
        UnderWay underWay = new UnderWay(to);
        byte[] buffer = new byte[16_384];
        try {
            InputStream in = from.getInputStream();
            for (int bytes = in.read(buffer); bytes >= 0; bytes = in.read(buffer)) {
                if (isRequest) {
                    onSent.accept(new String(buffer, 0, bytes, StandardCharsets.ISO_8859_1));
                }
                underWay.send(Arrays.copyOf(buffer, bytes));
            }
            underWay.end();
        } catch (IOException e) {
            // A reset: what was under way is lost.
            underWay.drop();
            reset(from);
            reset(to);
        }
    }

    /** What one side of a connection has sent, in order; it waits while the link is cut. */
    private final class UnderWay {
        private final Socket to;
        private final ByteArrayOutputStream held = new ByteArrayOutputStream();
        private boolean isHeld;
        private boolean isEnded;

        private UnderWay(Socket to) {
            this.to = to;
        }

        private synchronized void send(byte[] bytes) throws IOException {
            if (!isHeld && !cut.isCut()) {
                to.getOutputStream().write(bytes);
                to.getOutputStream().flush();
                return;
            }
            held.writeBytes(bytes);
            hold();
        }

        private synchronized void end() throws IOException {
            isEnded = true;
            if (!isHeld && !cut.isCut()) {
                to.shutdownOutput();
            } else {
                hold();
            }
        }

        private synchronized void drop() {
            held.reset();
        }

        private void hold() {
            if (!isHeld) {
                isHeld = true;
                Listener.daemon(this::passOn);
            }
        }

        private void passOn() {
            try {
                cut.awaitHealed();
                Thread.sleep(LateOrder.RETRANSMISSION_MILLIS);
                synchronized (this) {
                    isHeld = false;
                    to.getOutputStream().write(held.toByteArray());
                    to.getOutputStream().flush();
                    held.reset();
                    if (isEnded) {
                        to.shutdownOutput();
                    }
                }
            } catch (IOException e) {
                reset(to);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
