package io.agatelane.node.util;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/** Formats and parses socket addresses as {@code IP:PORT}, with IPv6 addresses in brackets. */
public final class SocketAddresses {
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /** Formats an address; the text is the same for all texts that {@link #parse} reads as this address. */
    public static String format(InetSocketAddress address) {
        String host = address.isUnresolved()
                ? address.getHostString()
                : address.getAddress().getHostAddress();
        return host.indexOf(':') >= 0 ? '[' + host + "]:" + address.getPort() : host + ':' + address.getPort();
    }

    /** Parses an address; empty when malformed. Host names are not resolved, as that could block. */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        String host = text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        }
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(host);
        if (ip == null) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 1 || port > MAX_PORT) {
                return Optional.empty();
            }
            return Optional.of(new InetSocketAddress(InetAddress.getByAddress(ip), port));
        } catch (NumberFormatException | UnknownHostException e) {
            return Optional.empty();
        }
    }
}
