package io.agatelane.node.io.peer;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.util.EventLog;
import io.agatelane.wire.peer.PeerFrame;
import io.agatelane.wire.peer.PeerHeartbeat;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Sends requests to one other router over one connection at a time. Guarded by its own monitor. */
final class OutboundPeer {
    private static final EventLog LOG = EventLog.of(OutboundPeer.class);

    private final NodeContext context;
    private final String vmName;
    private final Bootstrap bootstrap;
    private final PeerFrame hello;
    private final Map<Long, PendingRequest> pending = new LinkedHashMap<>();
    private InetSocketAddress address;
    private Connection connection;
    private long nextCorrelationId = 1;
    private long lastRequestMillis;

    OutboundPeer(NodeContext context, String vmName, Bootstrap bootstrap, PeerFrame hello) {
        this.context = context;
        this.vmName = vmName;
        this.bootstrap = bootstrap;
        this.hello = hello;
    }

    /** Sends a request; connects first if there is no connection to this address. */
    CompletableFuture<PeerFrame> request(InetSocketAddress target, PeerFrame frame, long timeoutMillis) {
        CompletableFuture<PeerFrame> result = new CompletableFuture<>();
        Connection replaced = null;
        synchronized (this) {
            lastRequestMillis = context.timers().monotonicMillis();
            if (pending.size() >= NettyPeerTransport.MAX_OUTSTANDING_REQUESTS) {
                result.completeExceptionally(new AgatelaneException(
                        FailureType.OVERLOADED, "too many requests are outstanding to " + vmName));
                return result;
            }
            if (connection != null && !target.equals(address)) {
                replaced = connection;
                connection = null;
            }
            long id = nextCorrelationId++;
            PeerFrame request = frame.toBuilder().setCorrelationId(id).build();
            if (request.getSerializedSize() > NettyPeerTransport.MAX_FRAME_BYTES) {
                result.completeExceptionally(
                        new AgatelaneException(FailureType.BODY_TOO_LARGE, "the request exceeds the frame size limit"));
                return result;
            }
            if (connection == null) {
                address = target;
                connection = new Connection();
                connection.connect();
            }
            Subscription timer = context.timers().after(timeoutMillis, () -> requestTimedOut(id));
            pending.put(id, new PendingRequest(request, result, timer, connection));
            connection.writeIfReady(request);
        }
        if (replaced != null) {
            replaced.drop("the address of the peer changed");
        }
        return result;
    }

    /** Replaces the connection if it is unresponsive, closes it if it is idle, and otherwise sends a heartbeat. */
    void checkConnection(long nowMillis) {
        Connection unresponsive = null;
        Connection idle = null;
        synchronized (this) {
            if (connection == null) {
                return;
            }
            if (nowMillis - connection.lastReceivedMillis >= NettyPeerTransport.RECEIVE_TIMEOUT_MILLIS) {
                unresponsive = connection;
                connection = new Connection();
                connection.connect();
            } else if (pending.isEmpty() && nowMillis - lastRequestMillis >= NettyPeerTransport.IDLE_TIMEOUT_MILLIS) {
                idle = connection;
                connection = null;
            } else {
                connection.sendHeartbeat();
            }
        }
        if (unresponsive != null) {
            LOG.event("peer_connection_silent").with("peer", vmName).warning();
            unresponsive.drop("no frame was received on the connection");
        }
        if (idle != null) {
            idle.drop("the connection was idle");
        }
    }

    void close() {
        Connection current;
        synchronized (this) {
            current = connection;
            connection = null;
        }
        if (current != null) {
            current.drop("this router is shutting down");
        }
    }

    private void requestTimedOut(long id) {
        PendingRequest request;
        synchronized (this) {
            request = pending.remove(id);
        }
        if (request != null) {
            request.result.completeExceptionally(PeerErrors.unreachable(vmName, "no response from " + vmName));
        }
    }

    private void completeRequest(PeerFrame frame) {
        PendingRequest request;
        synchronized (this) {
            request = pending.remove(frame.getCorrelationId());
        }
        if (request == null) {
            return;
        }
        request.timer.cancel();
        context.control().execute(() -> {
            if (frame.hasError()) {
                request.result.completeExceptionally(PeerErrors.fromError(vmName, frame.getError()));
            } else {
                request.result.complete(frame);
            }
        });
    }

    private record PendingRequest(
            PeerFrame frame, CompletableFuture<PeerFrame> result, Subscription timer, Connection connection) {}

    /** One connection. Requests wait until the peer has identified itself in its hello. */
    private final class Connection implements PeerPipeline.FrameListener {
        private volatile long lastReceivedMillis = context.timers().monotonicMillis();
        private volatile Channel channel;
        private boolean helloReceived;
        private boolean dropped;

        private void connect() {
            ChannelFuture connecting = bootstrap
                    .clone()
                    .handler(new PeerPipeline(NettyPeerTransport.MAX_FRAME_BYTES, newChannel -> {
                        channel = newChannel;
                        return this;
                    }))
                    .connect(address);
            channel = connecting.channel();
            connecting.addListener(done -> {
                if (!done.isSuccess()) {
                    drop("cannot connect to " + vmName + ": " + done.cause());
                }
            });
        }

        private void writeIfReady(PeerFrame frame) {
            if (helloReceived) {
                Channels.writeAndFlush(channel, frame);
            }
        }

        private void sendHeartbeat() {
            if (helloReceived) {
                Channels.writeAndFlush(
                        channel,
                        PeerFrame.newBuilder()
                                .setHeartbeat(PeerHeartbeat.getDefaultInstance())
                                .build());
            }
        }

        @Override
        public void connected() {
            Channels.writeAndFlush(channel, hello);
        }

        @Override
        public void frameReceived(PeerFrame frame) {
            lastReceivedMillis = context.timers().monotonicMillis();
            switch (frame.getBodyCase()) {
                case HELLO -> helloReceived(frame.getHello().getVmName());
                case HEARTBEAT -> {
                    // A heartbeat carries no data; only its time of arrival counts.
                }
                default -> completeRequest(frame);
            }
        }

        @Override
        public void failed(Throwable cause) {
            LOG.event("peer_connection_failed")
                    .with("peer", vmName)
                    .with("direction", "out")
                    .with("cause", cause)
                    .warning();
        }

        @Override
        public void closed() {
            drop("the connection to " + vmName + " was closed");
        }

        // The address may have been reassigned to another VM since the membership recorded it.
        private void helloReceived(String name) {
            if (!name.equals(vmName)) {
                drop("the address of " + vmName + " belongs to " + name);
                return;
            }
            synchronized (OutboundPeer.this) {
                helloReceived = true;
                for (PendingRequest request : pending.values()) {
                    if (request.connection == this) {
                        Channels.write(channel, request.frame);
                    }
                }
                channel.flush();
            }
        }

        // Closes the connection and fails its outstanding requests.
        private void drop(String reason) {
            List<PendingRequest> lostRequests = new ArrayList<>();
            synchronized (OutboundPeer.this) {
                if (dropped) {
                    return;
                }
                dropped = true;
                if (connection == this) {
                    connection = null;
                }
                pending.values().removeIf(request -> {
                    boolean lost = request.connection == this;
                    if (lost) {
                        lostRequests.add(request);
                    }
                    return lost;
                });
            }
            Channel openChannel = channel;
            if (openChannel != null) {
                Channels.close(openChannel);
            }
            for (PendingRequest request : lostRequests) {
                request.timer.cancel();
                context.control()
                        .execute(() -> request.result.completeExceptionally(PeerErrors.unreachable(vmName, reason)));
            }
        }
    }
}
