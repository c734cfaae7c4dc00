import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a loopback address with a thread for each connection. */
class Listener {
    /** Handles one request; returns false to close the connection. */
    interface Handler {
        boolean handle(Http.Message request, OutputStream out) throws IOException, InterruptedException;
    }

    private final Handler handler;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final int port;
    private volatile ServerSocket server;
    private volatile boolean silent;

    Listener(Handler handler) throws IOException {
        this(0, handler);
    }

    Listener(int port, Handler handler) throws IOException {
        this.handler = handler;
        server = open(port);
        this.port = server.getLocalPort();
        accept(server);
    }

    private static ServerSocket open(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        return socket;
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    private void accept(ServerSocket from) {
        daemon(() -> {
            while (!from.isClosed()) {
                try {
                    Socket socket = from.accept();
                    connections.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            for (Http.Message request = Http.readRequest(in); request != null; request = Http.readRequest(in)) {
                while (silent && !socket.isClosed()) {
                    Thread.sleep(5);
                }
                if (socket.isClosed() || !handler.handle(request, socket.getOutputStream())) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The peer or a planned fault has closed the connection.
        } finally {
            connections.remove(socket);
        }
    }

    /** Accepts connections and answers nothing on them until the server ends. */
    void goSilent() {
        silent = true;
    }

    boolean isSilent() {
        return silent;
    }

    /** Ends as a killed process does: resets all connections and refuses new ones. */
    void crash() {
        try {
            server.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        for (Socket socket : connections) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    /** Listens again on the same address. */
    void restart() throws IOException, InterruptedException {
        silent = false;
        for (int tries = 0; server.isClosed(); tries++) {
            try {
                server = open(port);
            } catch (BindException e) {
                // The thread that was accepting releases the port when it has noticed the end.
                if (tries == 200) {
                    throw e;
                }
                Thread.sleep(10);
            }
        }
        accept(server);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
