package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.DurationEvidence;
import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.PlacementIndex.Placement;
import io.agatelane.core.fleet.PrefillBacklog;
import io.agatelane.core.fleet.ReportedSlowness;
import io.agatelane.core.fleet.UpstreamPace;
import io.agatelane.core.fleet.command.PeerLoads;
import io.agatelane.core.hash.Rendezvous;
import io.agatelane.node.io.gossip.UdpSocket;
import io.agatelane.wire.peer.LoadDigest;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DigestDatagramsTest {
    private static final int PERIODS = 12;
    private static final long PERIOD_MILLIS = 200;
    private static final double LOSS = 0.03;

    /** Routers and upstreams of the smallest deployment, of three large ones and of the target size. */
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{7, 11}, {84, 68}, {95, 34}, {370, 7_200}};
    }

    // Guards against digests of relays that are cut off at the receiver's buffer and dropped, so that the routers of a
    // large fleet do not know each other's load.
    @Test(dataProvider = "sizes")
    public void digestsArriveAtEverySizeDespiteLossAndReordering(int routers, int upstreams) throws Exception {
        Random random = new Random(routers);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        PeerLoads peers = new PeerLoads();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (UdpSocket sender = UdpSocket.bind(any, "sender", (from, bytes) -> {});
                UdpSocket receiver = UdpSocket.bind(any, "receiver", (from, bytes) -> received.add(bytes))) {
            InetSocketAddress target = new InetSocketAddress(any.getAddress(), receiver.port());
            for (int period = 1; period <= PERIODS; period++) {
                List<byte[]> datagrams = new ArrayList<>(digest(period, upstreams));
                Collections.shuffle(datagrams, random);
                datagrams.removeIf(unused -> random.nextDouble() < LOSS);
                for (byte[] datagram : datagrams) {
                    assertTrue(datagram.length <= DigestDatagrams.MAX_BYTES, "bytes " + datagram.length);
                    sender.send(target, datagram);
                    // One at a time, so that the receiver's socket buffer loses none in addition.
                    apply(received.poll(5, TimeUnit.SECONDS), peers, period * PERIOD_MILLIS);
                }
            }
            assertEquals(receiver.truncatedCount(), 0);
        }
        long now = PERIODS * PERIOD_MILLIS;
        int known = 0;
        for (int upstream = 0; upstream < upstreams; upstream++) {
            known += peers.total(hash(upstream), now).inFlight() > 0 ? 1 : 0;
        }
        // A part is missing only when all periods within the expiry have lost it, and old by more than a period only
        // when two in a row have.
        assertEquals(known, upstreams);
        assertTrue(peers.meanAgeMillis(Set.of(PeerLoads.Source.RELAY), now) <= PERIOD_MILLIS, "age");
    }

    // Guards against a receiver that drops long datagrams without notice, whatever their sender is.
    @Test
    public void longDatagramsAreReceivedWhole() throws Exception {
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (UdpSocket sender = UdpSocket.bind(any, "sender", (from, bytes) -> {});
                UdpSocket receiver = UdpSocket.bind(any, "receiver", (from, bytes) -> received.add(bytes))) {
            InetSocketAddress target = new InetSocketAddress(any.getAddress(), receiver.port());
            for (int size : new int[] {1_200, 2_048, 2_049, 9_000, 60_000}) {
                sender.send(target, new byte[size]);
                assertEquals(received.poll(5, TimeUnit.SECONDS).length, size);
            }
        }
    }

    // Guards against events that are lost, or sent twice, when a digest takes several datagrams.
    @Test
    public void eventsAndHintsAreDividedToo() throws Exception {
        List<Placement> placements = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            placements.add(new Placement(i, hash(i), 13_300));
        }
        DigestContent content = new DigestContent(
                List.of(load(1)),
                0,
                new DigestEvents(placements, List.of(), List.of()),
                new RolloutHints(Set.of(1L, 2L, 3L), Map.of()),
                List.of(),
                List.of());
        List<Placement> decoded = new ArrayList<>();
        int loads = 0;
        for (byte[] datagram : DigestDatagrams.encode(header(1), content)) {
            LoadDigest digest = LoadDigest.parseFrom(datagram);
            decoded.addAll(DigestCodec.events(digest).placements());
            loads += digest.getLoadsCount();
            assertTrue(loads == 0
                    || digest.getLoadsCount() > 0
                    || DigestCodec.range(digest).isEmpty());
        }
        assertEquals(decoded, placements);
        assertEquals(loads, 1);
    }

    // Guards against a speed that is lost or changed on its way to the other routers.
    @Test
    public void speedArrivesWithItsWeightAndAge() throws Exception {
        UpstreamPace pace = new UpstreamPace(DurationEvidence.ofMeans(2.5, 1.6, 1.2), new ReportedSlowness(250, 120));
        DigestContent content = new DigestContent(
                List.of(new PeerLoad(Long.MIN_VALUE, 1, PrefillBacklog.EMPTY, 0, 0, 0, 70, pace), load(2)),
                0,
                DigestEvents.NONE,
                RolloutHints.NONE,
                List.of(),
                List.of());
        List<PeerLoad> decoded = DigestCodec.loads(
                LoadDigest.parseFrom(DigestDatagrams.encode(header(1), content).get(0)));
        assertEquals(decoded.get(0).pace().durationPercent(), pace.durationPercent(), 1);
        assertEquals(decoded.get(0).remainingMillis(), 70.0);
        assertEquals(decoded.get(0).pace().slowness(), pace.slowness());
        assertEquals(decoded.get(1).pace(), UpstreamPace.UNKNOWN);
    }

    private static void apply(byte[] datagram, PeerLoads peers, long nowMillis) throws Exception {
        LoadDigest digest = LoadDigest.parseFrom(datagram);
        peers.update(
                digest.getVm(),
                PeerLoads.Source.RELAY,
                digest.getIncarnation(),
                new PeerLoads.Part(digest.getSequence(), DigestCodec.range(digest), 0, DigestCodec.loads(digest)),
                nowMillis);
    }

    private static List<byte[]> digest(long sequence, int upstreams) {
        List<PeerLoad> loads = new ArrayList<>();
        for (int upstream = 0; upstream < upstreams; upstream++) {
            loads.add(load(upstream));
        }
        return DigestDatagrams.encode(
                header(sequence),
                new DigestContent(loads, 0, DigestEvents.NONE, RolloutHints.NONE, List.of(), List.of()));
    }

    private static LoadDigest header(long sequence) {
        return LoadDigest.newBuilder()
                .setVm("front-gt-central-a-12")
                .setIncarnation(1_796_000_000_000L)
                .setSequence(sequence)
                .build();
    }

    private static PeerLoad load(int upstream) {
        return new PeerLoad(
                hash(upstream), 12, PrefillBacklog.EMPTY.with(1, 400).with(3, 1_200), 900, 0.5, 120_000);
    }

    private static long hash(int upstream) {
        return Rendezvous.hash("i-" + upstream);
    }
}
