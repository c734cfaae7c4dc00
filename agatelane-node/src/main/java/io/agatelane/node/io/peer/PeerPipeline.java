package io.agatelane.node.io.peer;

import io.agatelane.wire.peer.PeerFrame;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.util.function.Function;

/** Installs the frame codec and a {@link FrameListener} on a new connection. */
final class PeerPipeline extends ChannelInitializer<Channel> {
    private final int maxFrameBytes;
    private final Function<Channel, FrameListener> listenerFactory;

    PeerPipeline(int maxFrameBytes, Function<Channel, FrameListener> listenerFactory) {
        this.maxFrameBytes = maxFrameBytes;
        this.listenerFactory = listenerFactory;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline()
                .addLast(new BoundedFrameDecoder(maxFrameBytes))
                .addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new ProtobufEncoder())
                .addLast(new FrameHandler(listenerFactory.apply(channel)));
    }

    /** Receives the events of one connection on its event loop. */
    interface FrameListener {
        void connected();

        void frameReceived(PeerFrame frame);

        void failed(Throwable cause);

        void closed();
    }

    private static final class FrameHandler extends SimpleChannelInboundHandler<PeerFrame> {
        private final FrameListener listener;

        private FrameHandler(FrameListener listener) {
            this.listener = listener;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            listener.connected();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
            listener.frameReceived(frame);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            listener.failed(cause);
            Channels.close(context.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            listener.closed();
        }
    }
}
