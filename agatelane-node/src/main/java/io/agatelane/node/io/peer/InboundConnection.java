package io.agatelane.node.io.peer;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.PeerTransport;
import io.agatelane.node.util.EventLog;
import io.agatelane.wire.peer.PeerFrame;
import io.agatelane.wire.peer.PeerHeartbeat;
import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** A connection that another router opened to send requests to this router. */
final class InboundConnection implements PeerPipeline.FrameListener {
    private static final EventLog LOG = EventLog.of(InboundConnection.class);

    private final NodeContext context;
    private final Channel channel;
    private final PeerFrame hello;
    private final Function<PeerFrame.BodyCase, PeerTransport.Handler> handlers;
    private final Runnable onClose;
    private final AtomicInteger runningRequests = new AtomicInteger();
    private volatile String peerName = "";
    private volatile long lastReceivedMillis;

    InboundConnection(
            NodeContext context,
            Channel channel,
            PeerFrame hello,
            Function<PeerFrame.BodyCase, PeerTransport.Handler> handlers,
            Runnable onClose) {
        this.context = context;
        this.channel = channel;
        this.hello = hello;
        this.handlers = handlers;
        this.onClose = onClose;
        this.lastReceivedMillis = context.timers().monotonicMillis();
    }

    @Override
    public void connected() {
        Channels.writeAndFlush(channel, hello);
    }

    @Override
    public void frameReceived(PeerFrame frame) {
        lastReceivedMillis = context.timers().monotonicMillis();
        switch (frame.getBodyCase()) {
            case HELLO -> peerName = frame.getHello().getVmName();
            case HEARTBEAT -> Channels.writeAndFlush(
                    channel,
                    PeerFrame.newBuilder()
                            .setHeartbeat(PeerHeartbeat.newBuilder().setReply(true))
                            .build());
            default -> handleRequest(frame);
        }
    }

    @Override
    public void failed(Throwable cause) {
        LOG.event("peer_connection_failed")
                .with("peer", peerName)
                .with("direction", "in")
                .with("cause", cause)
                .warning();
    }

    @Override
    public void closed() {
        onClose.run();
    }

    /** Closes the connection if no frame was received for the given time. */
    void closeIfUnresponsive(long nowMillis, long receiveTimeoutMillis) {
        if (nowMillis - lastReceivedMillis >= receiveTimeoutMillis) {
            Channels.close(channel);
        }
    }

    void close() {
        Channels.close(channel);
    }

    private void handleRequest(PeerFrame frame) {
        if (peerName.isEmpty()) {
            respond(
                    frame,
                    PeerErrors.toFrame(new AgatelaneException(
                            FailureType.MALFORMED_REQUEST, "a request came before the hello of its sender")));
            return;
        }
        PeerTransport.Handler handler = handlers.apply(frame.getBodyCase());
        if (handler == null) {
            respond(frame, PeerErrors.toFrame(PeerErrors.noHandler(frame.getBodyCase())));
            return;
        }
        if (runningRequests.incrementAndGet() > NettyPeerTransport.MAX_OUTSTANDING_REQUESTS) {
            runningRequests.decrementAndGet();
            respond(
                    frame,
                    PeerErrors.toFrame(new AgatelaneException(
                            FailureType.OVERLOADED, "too many requests are running on this connection")));
            return;
        }
        context.control()
                .execute(() -> HandlerInvoker.invoke(handler, peerName, frame, (response, failure) -> {
                    runningRequests.decrementAndGet();
                    respond(frame, failure == null ? response : PeerErrors.toFrame(failure));
                }));
    }

    private void respond(PeerFrame request, PeerFrame response) {
        PeerFrame frame = response.toBuilder()
                .setCorrelationId(request.getCorrelationId())
                .build();
        if (frame.getSerializedSize() > NettyPeerTransport.MAX_FRAME_BYTES) {
            respond(
                    request,
                    PeerErrors.toFrame(new AgatelaneException(
                            FailureType.BODY_TOO_LARGE, "the response exceeds the frame size limit")));
            return;
        }
        Channels.writeAndFlush(channel, frame);
    }
}
