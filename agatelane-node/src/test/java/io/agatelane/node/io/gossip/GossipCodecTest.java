package io.agatelane.node.io.gossip;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.membership.Hint;
import io.agatelane.core.membership.MemberRecord;
import io.agatelane.core.membership.MemberStatus;
import io.agatelane.core.membership.SwimMessage;
import io.agatelane.node.util.SocketAddresses;
import io.agatelane.wire.peer.AccountUsage;
import io.agatelane.wire.peer.GossipPacket;
import io.agatelane.wire.peer.Quarantine;
import io.agatelane.wire.peer.UpstreamDigest;
import java.lang.management.ManagementFactory;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.testng.annotations.Test;

public final class GossipCodecTest {
    // Guards against packets that exceed the size that the protocol computes, and against fields lost in encoding.
    @Test
    public void encodedPacketsDoNotExceedComputedSize() {
        Random random = new Random(3);
        for (int i = 0; i < 2_000; i++) {
            SwimMessage message = randomMessage(random);
            byte[] bytes = GossipCodec.encode(message);
            assertTrue(bytes.length <= message.sizeBytes(), bytes.length + " > " + message.sizeBytes());
            assertEquals(GossipCodec.decode(ByteBuffer.wrap(bytes)), message);
        }
    }

    // Guards against malformed packets that stop the control thread or enter the member table.
    @Test
    public void malformedPacketsAreTypedFailures() {
        byte[] noise = {1, 2, 3, 4};
        byte[] empty = {};
        byte[] nameless = GossipPacket.newBuilder()
                .setType(GossipPacket.Type.PING)
                .addMembers(
                        GossipCodec.toUpdate(member(new Random(1))).toBuilder().setName(""))
                .build()
                .toByteArray();
        for (byte[] bytes : List.of(noise, empty, nameless)) {
            assertThrows(AgatelaneException.class, () -> GossipCodec.decode(ByteBuffer.wrap(bytes)));
        }
        for (String text : List.of("", "host:1", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:x")) {
            assertTrue(SocketAddresses.parse(text).isEmpty(), text);
        }
        assertEquals(SocketAddresses.format(SocketAddresses.parse("10.0.0.1:7").orElseThrow()), "10.0.0.1:7");
        assertEquals(
                SocketAddresses.format(SocketAddresses.parse("[2001:db8::1]:7").orElseThrow()),
                "[2001:db8:0:0:0:0:0:1]:7");
    }

    // Prints the CPU time of the codec, which capacity estimates need: the simulated network does not encode messages.
    @Test
    public void cpuTimeOfFullPackets() {
        Random random = new Random(4);
        List<MemberRecord> members = new ArrayList<>();
        SwimMessage message = SwimMessage.of(SwimMessage.Type.GOSSIP, 1).withSender("r1", "10.0.0.1:7000", 5);
        while (message.sizeBytes() < 1_100) {
            members.add(member(random));
            message = message.withContent(members, List.of());
        }
        int rounds = 20_000;
        for (int i = 0; i < rounds; i++) {
            GossipCodec.decode(ByteBuffer.wrap(GossipCodec.encode(message)));
        }
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        for (int i = 0; i < rounds; i++) {
            GossipCodec.decode(ByteBuffer.wrap(GossipCodec.encode(message)));
        }
        long nanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before;
        System.out.printf(
                Locale.ROOT,
                "codec_cpu_us_per_packet=%.1f packet_bytes=%d%n",
                nanos / 1_000.0 / rounds,
                message.sizeBytes());
    }

    private static SwimMessage randomMessage(Random random) {
        List<SwimMessage.Type> types = List.of(SwimMessage.Type.values());
        List<MemberRecord> members = new ArrayList<>();
        for (int i = random.nextInt(10); i > 0; i--) {
            members.add(member(random));
        }
        List<Hint> hints = new ArrayList<>();
        if (random.nextBoolean()) {
            hints.add(GossipHint.of(UpstreamDigest.newBuilder()
                    .setUpstream("engine-" + random.nextInt(7_200))
                    .setSequence(random.nextLong())
                    .setRunning(random.nextInt())
                    .setDraining(random.nextBoolean())
                    .build()));
        }
        if (random.nextBoolean()) {
            hints.add(GossipHint.of(Quarantine.newBuilder()
                    .setFingerprint(ByteString.copyFrom(new byte[] {1, (byte) random.nextInt()}))
                    .setCrashes(2)
                    .build()));
        }
        if (random.nextBoolean()) {
            hints.add(GossipHint.of(AccountUsage.newBuilder()
                    .setClientAccount("a" + random.nextInt())
                    .setVm("vm")
                    .build()));
        }
        return SwimMessage.of(types.get(random.nextInt(types.size())), random.nextLong())
                .withSender("vm-" + random.nextInt(), "10.1.2.3:7000", random.nextLong())
                .withTarget(random.nextBoolean() ? "" : "vm-é-" + random.nextInt(), "10.0.0.1:1")
                .withPage("c" + random.nextInt(), random.nextLong())
                .withContent(members, hints);
    }

    private static MemberRecord member(Random random) {
        return new MemberRecord(
                "vm-" + random.nextInt(370),
                List.of(MemberStatus.values()).get(random.nextInt(4)),
                1_700_000_000_000L + random.nextInt(),
                "10.0." + random.nextInt(256) + "." + random.nextInt(256) + ":7000",
                "ch-nord-" + random.nextInt(3),
                "ch-nord",
                random.nextInt(1 << 20));
    }
}
