package io.agatelane.lab.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free loopback ports for routers that must know each other's addresses before they start. */
public final class LoopbackPorts {
    private LoopbackPorts() {}

    /**
     * Returns different addresses that are free at the moment. All ports are held until the last one is known, because
     * the system may assign a released port again.
     *
     * @throws UncheckedIOException when no port can be bound
     */
    public static List<InetSocketAddress> free(int count) {
        List<ServerSocket> held = new ArrayList<>();
        try {
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket();
                held.add(socket);
                socket.bind(LabServer.parseAddress("127.0.0.1:0"));
                addresses.add(LabServer.parseAddress("127.0.0.1:" + socket.getLocalPort()));
            }
            return addresses;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            held.forEach(LoopbackPorts::release);
        }
    }

    private static void release(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
