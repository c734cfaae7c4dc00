package io.agatelane.node.io.gossip;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** A bound UDP socket that passes received datagrams to a {@link Receiver}. */
public final class UdpSocket implements AutoCloseable {
    private final EventLoopGroup group;
    private final Channel channel;

    private UdpSocket(EventLoopGroup group, Channel channel) {
        this.group = group;
        this.channel = channel;
    }

    /** Receives datagrams on the event loop thread of the socket. */
    @FunctionalInterface
    public interface Receiver {
        void receive(InetSocketAddress from, byte[] bytes);
    }

    /**
     * Binds a socket and starts to receive.
     *
     * @throws AgatelaneException with {@code INVALID_SETTINGS} when the address cannot be bound
     */
    public static UdpSocket bind(InetSocketAddress address, String threadName, Receiver receiver) {
        EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory(threadName, true));
        ChannelFuture bound = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .handler(new Handler(receiver))
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            shutDown(group);
            throw new AgatelaneException(
                            FailureType.INVALID_SETTINGS, "cannot bind UDP address " + address, bound.cause())
                    .withLocation("/peerAddress");
        }
        return new UdpSocket(group, bound.channel());
    }

    int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Sends a datagram without waiting; losses are not reported. */
    public void send(InetSocketAddress target, byte[] bytes) {
        var unused =
                channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), target), channel.voidPromise());
    }

    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
        shutDown(group);
    }

    private static void shutDown(EventLoopGroup group) {
        var unused = group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        private final Receiver receiver;

        private Handler(Receiver receiver) {
            this.receiver = receiver;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            receiver.receive(packet.sender(), bytes);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A failed send or an ICMP error affects one packet, which the protocol treats as lost.
        }
    }
}
