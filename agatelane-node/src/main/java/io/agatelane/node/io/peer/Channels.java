package io.agatelane.node.io.peer;

import io.agatelane.wire.peer.PeerFrame;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/** Writes frames to a connection. A failed write closes the connection; its listener is notified of the close. */
final class Channels {
    private Channels() {}

    static void writeAndFlush(Channel channel, PeerFrame frame) {
        write(channel, frame);
        channel.flush();
    }

    static void write(Channel channel, PeerFrame frame) {
        ChannelFuture unused = channel.write(frame).addListener(written -> {
            if (!written.isSuccess()) {
                close(channel);
            }
        });
    }

    static void close(Channel channel) {
        ChannelFuture unused = channel.close();
    }
}
