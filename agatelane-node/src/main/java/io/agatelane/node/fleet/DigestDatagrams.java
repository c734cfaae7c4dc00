package io.agatelane.node.fleet;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.Message;
import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.UpstreamRange;
import io.agatelane.wire.peer.LoadDigest;
import io.agatelane.wire.peer.UpstreamLoadEntry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Encodes a digest as datagrams that are not fragmented on their way and of which each can be applied without the
 * others, so that a lost one only makes the loads of its range older.
 */
final class DigestDatagrams {
    // Fits the minimum MTU of IPv6, which tunnels keep as well.
    static final int MAX_BYTES = 1_200;
    // What a relay appends for one receiver, and the range of upstreams.
    private static final int RESERVED_BYTES = 100;
    private static final int MAX_TAG_BYTES = 2;

    private final LoadDigest header;
    private final List<LoadDigest.Builder> datagrams = new ArrayList<>();
    private int lastBytes;

    private DigestDatagrams(LoadDigest header) {
        this.header = header;
    }

    /**
     * Returns the datagrams of a digest, at least one. The first one has room for {@link #RESERVED_BYTES} more.
     *
     * @param header the fields that each datagram repeats
     */
    static List<byte[]> encode(LoadDigest header, DigestContent content) {
        DigestDatagrams encoder = new DigestDatagrams(
                header.toBuilder().setAgeMillis((int) content.ageMillis()).build());
        encoder.addLoads(content.loads());
        encoder.addAll(DigestCodec.crashes(content.events()), LoadDigest.Builder::addCrashes);
        encoder.addAll(DigestCodec.partReports(content.events()), LoadDigest.Builder::addPartReports);
        encoder.addAll(DigestCodec.loadedWeights(content.hints()), LoadDigest.Builder::addLoaded);
        content.hints().reserved().forEach(encoder::addReserved);
        encoder.addAll(DigestCodec.accounts(content.accounts()), LoadDigest.Builder::addAccounts);
        encoder.addAll(DigestCodec.services(content.services()), LoadDigest.Builder::addServices);
        encoder.addAll(DigestCodec.placements(content.events()), LoadDigest.Builder::addPlacements);
        return encoder.datagrams.stream()
                .map(datagram -> datagram.build().toByteArray())
                .toList();
    }

    private void addLoads(List<PeerLoad> loads) {
        List<PeerLoad> sorted = loads.stream()
                .sorted(Comparator.comparingLong(PeerLoad::upstream))
                .toList();
        open(UpstreamRange.ALL);
        long previous = Long.MIN_VALUE;
        for (PeerLoad load : sorted) {
            UpstreamLoadEntry entry = DigestCodec.encode(load);
            // Entries of the same upstream stay together, because a range belongs to one datagram.
            if (!hasRoom(entry) && load.upstream() != previous) {
                last().setLastUpstream(load.upstream() - 1);
                open(new UpstreamRange(load.upstream(), Long.MAX_VALUE));
            }
            last().addLoads(entry);
            lastBytes += size(entry);
            previous = load.upstream();
        }
    }

    private <M extends Message> void addAll(List<M> entries, BiConsumer<LoadDigest.Builder, M> add) {
        for (M entry : entries) {
            if (!hasRoom(entry)) {
                open(UpstreamRange.NONE);
            }
            add.accept(last(), entry);
            lastBytes += size(entry);
        }
    }

    private void addReserved(long upstream) {
        if (lastBytes + Long.BYTES + MAX_TAG_BYTES > MAX_BYTES) {
            open(UpstreamRange.NONE);
        }
        last().addReserved(upstream);
        lastBytes += Long.BYTES + MAX_TAG_BYTES;
    }

    private void open(UpstreamRange range) {
        datagrams.add(header.toBuilder().setFirstUpstream(range.first()).setLastUpstream(range.last()));
        lastBytes = header.getSerializedSize() + RESERVED_BYTES;
    }

    private LoadDigest.Builder last() {
        return datagrams.get(datagrams.size() - 1);
    }

    private boolean hasRoom(Message entry) {
        return lastBytes + size(entry) <= MAX_BYTES;
    }

    private static int size(Message entry) {
        return MAX_TAG_BYTES + CodedOutputStream.computeMessageSizeNoTag(entry);
    }
}
