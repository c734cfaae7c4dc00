package io.agatelane.node.io.peer;

import io.agatelane.node.api.Member;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.PeerTransport;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.util.SocketAddresses;
import io.agatelane.wire.peer.PeerFrame;
import io.agatelane.wire.peer.PeerHello;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Sends requests between routers over TCP. A router opens one connection to each router that it sends requests to, and
 * closes it after {@value #IDLE_TIMEOUT_MILLIS} ms without a request. Responses and failures are delivered on the
 * control thread. Beside {@code PEER_UNREACHABLE}, a request fails with {@code OVERLOADED} when too many requests are
 * outstanding and with {@code BODY_TOO_LARGE} when it exceeds the frame size limit; in both cases nothing was sent.
 */
public final class NettyPeerTransport implements PeerTransport, AutoCloseable {
    /** Largest size of a frame; it exceeds a response of 900 KB and a whole configuration several times. */
    static final int MAX_FRAME_BYTES = 8 << 20;

    /** Largest number of requests to one peer that have no response yet. */
    static final int MAX_OUTSTANDING_REQUESTS = 10_000;

    /** A connection on which no frame is received for this time is closed; the router that opened it opens another. */
    static final long RECEIVE_TIMEOUT_MILLIS = 3_000;

    /**
     * Connections without a request for this time are closed, because heartbeats to every router of a large fleet would
     * exceed the traffic budget.
     */
    static final long IDLE_TIMEOUT_MILLIS = 60_000;

    private static final long HEARTBEAT_PERIOD_MILLIS = 1_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int EVENT_LOOP_THREADS = 2;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

    private final NodeContext context;
    private final Supplier<MembershipView> membership;
    private final PeerFrame hello;
    private final EventLoopGroup eventLoops;
    private final Bootstrap bootstrap;
    private final Map<PeerFrame.BodyCase, Handler> handlers = new ConcurrentHashMap<>();
    private final Map<String, OutboundPeer> peers = new ConcurrentHashMap<>();
    private final Set<InboundConnection> inbound = ConcurrentHashMap.newKeySet();
    private volatile Channel serverChannel;
    private volatile Subscription heartbeat;
    private volatile boolean closed;

    public NettyPeerTransport(NodeContext context, MembershipView membership) {
        this(context, () -> membership);
    }

    /**
     * Creates a transport whose membership is created later.
     *
     * @param membership not called before the first request; the membership itself needs the port of this transport
     */
    public NettyPeerTransport(NodeContext context, Supplier<MembershipView> membership) {
        this.context = context;
        this.membership = membership;
        this.hello = PeerFrame.newBuilder()
                .setHello(PeerHello.newBuilder()
                        .setVmName(context.settings().vmName())
                        .setIncarnation(context.incarnation()))
                .build();
        this.eventLoops = new NioEventLoopGroup(
                EVENT_LOOP_THREADS,
                new DefaultThreadFactory("peer-" + context.settings().vmName(), true));
        this.bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /** Listens on the peer address of the settings and starts to send heartbeats. */
    public void start() {
        serverChannel = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new PeerPipeline(MAX_FRAME_BYTES, this::createInboundConnection))
                .bind(context.settings().peerAddress())
                .syncUninterruptibly()
                .channel();
        heartbeat = context.timers().every("peer-heartbeat", HEARTBEAT_PERIOD_MILLIS, this::checkConnections);
    }

    /** The TCP port in use after {@link #start}. */
    public int port() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    @Override
    public CompletableFuture<PeerFrame> request(String vmName, PeerFrame frame, long timeoutMillis) {
        if (closed) {
            return CompletableFuture.failedFuture(PeerErrors.unreachable(vmName, "this router is shutting down"));
        }
        if (vmName.equals(context.settings().vmName())) {
            return requestToSelf(frame, timeoutMillis);
        }
        Optional<InetSocketAddress> address =
                membership.get().member(vmName).map(Member::peerAddress).flatMap(SocketAddresses::parse);
        if (address.isEmpty()) {
            return CompletableFuture.failedFuture(PeerErrors.unreachable(vmName, "no valid address of " + vmName));
        }
        return peers.computeIfAbsent(vmName, name -> new OutboundPeer(context, name, bootstrap, hello))
                .request(address.get(), frame, timeoutMillis);
    }

    @Override
    public void onRequest(PeerFrame.BodyCase kind, Handler handler) {
        handlers.put(kind, handler);
    }

    @Override
    public void close() {
        closed = true;
        if (heartbeat != null) {
            heartbeat.cancel();
        }
        if (serverChannel != null) {
            Channels.close(serverChannel);
        }
        peers.values().forEach(OutboundPeer::close);
        inbound.forEach(InboundConnection::close);
        eventLoops
                .shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
    }

    private CompletableFuture<PeerFrame> requestToSelf(PeerFrame frame, long timeoutMillis) {
        CompletableFuture<PeerFrame> result = new CompletableFuture<>();
        String self = context.settings().vmName();
        Subscription timer = context.timers()
                .after(
                        timeoutMillis,
                        () -> result.completeExceptionally(PeerErrors.unreachable(self, "no response from " + self)));
        context.control().execute(() -> {
            Handler handler = handlers.get(frame.getBodyCase());
            if (handler == null) {
                timer.cancel();
                result.completeExceptionally(PeerErrors.noHandler(frame.getBodyCase()));
                return;
            }
            HandlerInvoker.invoke(handler, self, frame, (response, failure) -> {
                timer.cancel();
                if (failure == null) {
                    result.complete(response);
                } else {
                    result.completeExceptionally(failure);
                }
            });
        });
        return result;
    }

    private PeerPipeline.FrameListener createInboundConnection(Channel channel) {
        InboundConnection[] holder = new InboundConnection[1];
        holder[0] = new InboundConnection(context, channel, hello, handlers::get, () -> inbound.remove(holder[0]));
        inbound.add(holder[0]);
        return holder[0];
    }

    private void checkConnections() {
        long nowMillis = context.timers().monotonicMillis();
        peers.values().forEach(peer -> peer.checkConnection(nowMillis));
        inbound.forEach(connection -> connection.closeIfUnresponsive(nowMillis, RECEIVE_TIMEOUT_MILLIS));
    }
}
