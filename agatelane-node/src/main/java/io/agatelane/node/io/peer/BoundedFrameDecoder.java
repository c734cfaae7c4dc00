package io.agatelane.node.io.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.agatelane.wire.peer.PeerFrame;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.List;

/**
 * Decodes frames that are prefixed with their length as a varint. Netty's decoder of this format accepts frames of any
 * length, which would let one peer exhaust the memory of another.
 */
final class BoundedFrameDecoder extends ByteToMessageDecoder {
    private static final int MAX_LENGTH_PREFIX_BYTES = 5;
    private static final int BITS_PER_VARINT_BYTE = 7;

    private final int maxFrameBytes;

    BoundedFrameDecoder(int maxFrameBytes) {
        this.maxFrameBytes = maxFrameBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws IOException {
        int start = in.readerIndex();
        long length = readLength(in);
        if (length < 0) {
            in.readerIndex(start);
            return;
        }
        if (length > maxFrameBytes) {
            in.skipBytes(in.readableBytes());
            throw new TooLongFrameException("the frame of " + length + " bytes exceeds the limit of " + maxFrameBytes);
        }
        if (in.readableBytes() < length) {
            in.readerIndex(start);
            return;
        }
        ByteBuf frame = in.readSlice((int) length);
        try {
            out.add(PeerFrame.parseFrom(new ByteBufInputStream(frame)));
        } catch (InvalidProtocolBufferException e) {
            throw new CorruptedFrameException("the frame is not a valid PeerFrame", e);
        }
    }

    // Returns -1 while the length prefix is incomplete.
    private static long readLength(ByteBuf in) {
        long length = 0;
        for (int i = 0; i < MAX_LENGTH_PREFIX_BYTES; i++) {
            if (!in.isReadable()) {
                return -1;
            }
            int next = in.readByte();
            length |= (long) (next & 0x7F) << (i * BITS_PER_VARINT_BYTE);
            if (next >= 0) {
                return length;
            }
        }
        throw new CorruptedFrameException("the frame length is not a 32-bit varint");
    }
}
