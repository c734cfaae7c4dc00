package io.agatelane.node.io.gossip;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.util.EventLog;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongPredicate;

/** A bound UDP socket that passes received datagrams to a {@link Receiver}. */
public final class UdpSocket implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(UdpSocket.class);
    // The largest datagram of UDP over IPv4. The library's default of 2,048 bytes cut longer ones off without notice.
    private static final int RECEIVE_BUFFER_BYTES = 65_536;
    // Longer series of the same event are logged at each power of two.
    private static final LongPredicate LOGGED = count -> Long.bitCount(count) == 1;

    private final EventLoopGroup group;
    private final Channel channel;
    private final Handler handler;

    private UdpSocket(EventLoopGroup group, Channel channel, Handler handler) {
        this.group = group;
        this.channel = channel;
        this.handler = handler;
    }

    /** Receives datagrams on the event loop thread of the socket. */
    @FunctionalInterface
    public interface Receiver {
        void receive(InetSocketAddress from, byte[] bytes);
    }

    /** Number of datagrams that were received only in part and dropped. */
    public long truncatedCount() {
        return handler.truncated.get();
    }

    /** Number of datagrams that could not be sent. */
    public long unsentCount() {
        return handler.unsent.get();
    }

    /**
     * Binds a socket and starts to receive.
     *
     * @throws AgatelaneException with {@code INVALID_SETTINGS} when the address cannot be bound
     */
    public static UdpSocket bind(InetSocketAddress address, String threadName, Receiver receiver) {
        EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory(threadName, true));
        Handler handler = new Handler(receiver);
        ChannelFuture bound = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
                .handler(handler)
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            shutDown(group);
            throw new AgatelaneException(
                            FailureType.INVALID_SETTINGS, "cannot bind UDP address " + address, bound.cause())
                    .withLocation("/peerAddress");
        }
        return new UdpSocket(group, bound.channel(), handler);
    }

    /** The port that the socket is bound to. */
    public int port() {
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
        private final AtomicLong truncated = new AtomicLong();
        private final AtomicLong unsent = new AtomicLong();

        private Handler(Receiver receiver) {
            this.receiver = receiver;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            if (!packet.content().isWritable()) {
                recordLost(truncated, "datagram_truncated", "from", packet.sender());
                return;
            }
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            receiver.receive(packet.sender(), bytes);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A failed send or an ICMP error affects one packet, which the protocol treats as lost.
            recordLost(unsent, "datagram_not_sent", "reason", cause);
        }
    }

    private static void recordLost(AtomicLong counter, String event, String key, Object detail) {
        long count = counter.incrementAndGet();
        if (LOGGED.test(count)) {
            LOG.event(event).with(key, detail).with("total", count).info();
        }
    }
}
