package io.agatelane.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.membership.query.SwimCounter;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class SwimFailureTest {
    // Guards against the one-way failure of a network path being taken for the failure of a member.
    @Test
    public void oneWayPathFailureCausesNoDeath() {
        SimulatedNetwork network = joinedNetwork(1, 12, 3);
        network.blocked = (from, to) -> from.name.equals("r3") && to.name.equals("r4");
        network.run(120_000);
        assertEquals(network.falseDeaths(), 0);
        assertTrue(network.total(SwimCounter.INDIRECT_PROBES) > 0);
    }

    // Guards against a paused member that stays dead, and against one that declares others dead after its pause.
    @Test
    public void pausedMemberRejoinsAndDeclaresNobodyDead() {
        SimulatedNetwork network = joinedNetwork(2, 12, 3);
        SimulatedNetwork.Node paused = network.node("r5");
        paused.pause();
        network.run(10_000);
        assertEquals(network.node("r0").recordOf("r5").orElseThrow().status(), MemberStatus.DEAD);
        paused.resume();
        assertTrue(network.runUntilConsistent(10_000) >= 0);
        network.run(10_000);
        assertTrue(network.isConsistent());
        assertTrue(network.changes.stream()
                .noneMatch(change -> change.observer().equals("r5") && change.to() == MemberStatus.DEAD));
    }

    // Guards against a suspicion that ends in a death because the observer was paused and received no refutation.
    @Test
    public void suspicionTimeoutExcludesLocalPause() {
        SimulatedNetwork network = joinedNetwork(15, 12, 3);
        SimulatedNetwork.Node observer = network.node("r5");
        SimulatedNetwork.Node suspect = network.node("r6");
        suspect.pause();
        while (observer.recordOf("r6").orElseThrow().status() != MemberStatus.SUSPECT) {
            network.run(50);
        }
        observer.pause();
        suspect.resume();
        network.run(5_000);
        observer.resume();
        network.run(5_000);
        assertTrue(network.isConsistent());
        assertTrue(network.changes.stream()
                .noneMatch(change -> change.observer().equals("r5") && change.to() == MemberStatus.DEAD));
    }

    // Guards against a member being declared dead after a pause that is shorter than the suspicion timeout.
    @Test
    public void shortPauseCausesNoDeath() {
        SimulatedNetwork network = joinedNetwork(3, 12, 3);
        for (int i = 2; i < 12; i++) {
            network.node("r" + i).pause();
            network.run(1_500);
            network.node("r" + i).resume();
            network.run(5_000);
        }
        assertEquals(network.falseDeaths(), 0);
    }

    // Guards against sides of a healed network partition that regard each other as dead permanently.
    @Test
    public void healsAfterZonePartition() {
        SimulatedNetwork network = joinedNetwork(4, 30, 3);
        network.blocked = (from, to) -> from.zone.equals("zone-2") != to.zone.equals("zone-2");
        network.run(60_000);
        assertEquals(network.node("r0").live().size(), 20);
        assertEquals(network.node("r2").live().size(), 10);
        network.blocked = (from, to) -> false;
        long healedMillis = network.runUntilConsistent(90_000);
        System.out.printf("zone_heal_ms=%d members=30%n", healedMillis);
        assertTrue(healedMillis >= 0);
    }

    // Guards against healing that depends on the entries of dead members, which are removed after 10 minutes.
    @Test
    public void healsThroughSeedsAfterDeadMembersAreRemoved() {
        SimulatedNetwork network = joinedNetwork(5, 9, 3);
        network.blocked = (from, to) -> from.zone.equals("zone-2") != to.zone.equals("zone-2");
        network.run(700_000);
        assertEquals(network.node("r0").protocol.snapshot().members().size(), 6);
        network.blocked = (from, to) -> false;
        assertTrue(network.runUntilConsistent(90_000) >= 0);
    }

    @DataProvider
    public Object[][] lossySizes() {
        return new Object[][] {{9, 6}, {9, 7}, {9, 8}, {50, 6}, {50, 7}, {50, 8}};
    }

    // Guards against suspicions caused by lost packets that end in a death although the member is running.
    @Test(dataProvider = "lossySizes")
    public void survivesTwentyPercentLoss(int count, long seed) {
        SimulatedNetwork network = joinedNetwork(seed, count, 3);
        long before = network.total(SwimCounter.SUSPICIONS);
        network.lossRatio = 0.2;
        network.run(120_000);
        long suspicions = network.total(SwimCounter.SUSPICIONS) - before;
        System.out.printf(
                "loss_percent=20 members=%d seconds=120 false_suspicions=%d false_deaths=%d%n",
                count, suspicions, network.falseDeaths());
        assertTrue(suspicions > 0, "the test does not reach the suspicion path");
        assertEquals(network.falseDeaths(), 0);
        network.lossRatio = 0;
        assertTrue(network.runUntilConsistent(10_000) >= 0);
    }

    // Guards against outdated records that survive a simultaneous restart of all members.
    @Test
    public void simultaneousRestartsConverge() {
        SimulatedNetwork network = joinedNetwork(7, 50, 6);
        network.running().forEach(SimulatedNetwork.Node::crash);
        network.run(2_000);
        for (int i = 0; i < 50; i++) {
            network.start(network.node("r" + i));
        }
        long millis = network.runUntilConsistent(60_000);
        System.out.printf("herd_restart_ms=%d members=50%n", millis);
        assertTrue(millis >= 0);
    }

    // Guards against outdated entries of the platform's list that stay live.
    @Test
    public void outdatedPlatformListIsCorrected() {
        SimulatedNetwork network = joinedNetwork(14, 50, 6);
        List<MemberRecord> listed = network.node("r0").protocol.snapshot().members();
        network.running().forEach(SimulatedNetwork.Node::crash);
        for (int i = 0; i < 45; i++) {
            SimulatedNetwork.Node node = network.node("r" + i);
            network.start(node);
            network.run(10);
            node.protocol.updatePlatformMembers(listed, network.nowMillis());
        }
        long millis = network.runUntilConsistent(60_000);
        System.out.printf("herd_restart_with_outdated_list_ms=%d members=45 outdated=5%n", millis);
        assertTrue(millis >= 0 && millis < 15_000, "after " + millis);
    }

    // Guards against a restarted member that is taken for its old process, also when its clock was set back.
    @Test
    public void restartIsRecognised() {
        SimulatedNetwork network = joinedNetwork(8, 9, 3);
        SimulatedNetwork.Node node = network.node("r4");
        long old = network.node("r0").recordOf("r4").orElseThrow().incarnation();
        node.crash();
        network.run(1_000);
        network.start(node);
        assertTrue(network.runUntilConsistent(10_000) >= 0);
        network.run(5_000);
        assertTrue(network.node("r0").recordOf("r4").orElseThrow().incarnation() > old);
        assertTrue(network.total(SwimCounter.RESTARTS_SEEN) > 0);

        node.crash();
        network.run(10_000);
        assertEquals(network.node("r0").recordOf("r4").orElseThrow().status(), MemberStatus.DEAD);
        node.start(5);
        assertTrue(network.runUntilConsistent(15_000) >= 0);
    }

    // Guards against a leaving member that looks live again when it has stopped, and against one that cannot rejoin.
    @Test
    public void leavingMemberIsNeitherDeadNorLive() {
        SimulatedNetwork network = joinedNetwork(9, 12, 3);
        SimulatedNetwork.Node leaving = network.node("r7");
        leaving.protocol.announceLeaving(network.nowMillis());
        network.run(3_000);
        network.running()
                .forEach(node -> assertEquals(node.recordOf("r7").orElseThrow().status(), MemberStatus.LEAVING));
        network.run(30_000);
        assertEquals(network.node("r0").recordOf("r7").orElseThrow().status(), MemberStatus.LEAVING);
        leaving.crash();
        network.run(15_000);
        assertEquals(network.node("r0").recordOf("r7").orElseThrow().status(), MemberStatus.DEAD);
        assertTrue(network.changes.stream()
                .noneMatch(change -> change.subject().equals("r7") && change.to() == MemberStatus.SUSPECT));
        network.start(leaving);
        assertTrue(network.runUntilConsistent(15_000) >= 0);
    }

    // Guards against dead members that are never removed or that return from the tables of other members.
    @Test
    public void deadMembersAreRemoved() {
        SimulatedNetwork network = joinedNetwork(10, 9, 3);
        network.node("r8").crash();
        network.run(620_000);
        network.running().forEach(node -> assertFalse(node.recordOf("r8").isPresent(), node.name));
        network.run(120_000);
        network.running().forEach(node -> assertFalse(node.recordOf("r8").isPresent(), node.name));
    }

    // Guards against probes that keep a replaced VM alive because another VM responds at its address.
    @Test
    public void nameMovesAndAddressIsReused() {
        SimulatedNetwork network = joinedNetwork(11, 9, 3);
        network.node("r6").crash();
        network.node("r7").crash();
        network.start(network.add("r6", "zone-0", "region-0", "10.0.9.9:7000"));
        network.start(network.add("r99", "zone-1", "region-0", "10.0.0.7:7000"));
        network.run(20_000);
        assertEquals(network.node("r0").recordOf("r6").orElseThrow().address(), "10.0.9.9:7000");
        assertEquals(network.node("r0").recordOf("r7").orElseThrow().status(), MemberStatus.DEAD);
        assertEquals(network.node("r0").recordOf("r99").orElseThrow().status(), MemberStatus.ALIVE);
    }

    // Guards against hints that leave their scope over costly links between availability zones, or that do not arrive.
    @Test
    public void hintsStayInTheirScope() {
        SimulatedNetwork network = joinedNetwork(12, 24, 6);
        SimulatedNetwork.Node publisher = network.node("r0");
        publisher.protocol.publish(new TestHint(HintScope.AVAILABILITY_ZONE, "load", 1, false), network.nowMillis());
        publisher.protocol.publish(new TestHint(HintScope.REGION, "usage", 1, false), network.nowMillis());
        publisher.protocol.publish(new TestHint(HintScope.ALL, "quarantine", 1, false), network.nowMillis());
        network.run(5_000);
        for (SimulatedNetwork.Node node : network.running()) {
            if (node != publisher) {
                Set<String> expected = new TreeSet<>(Set.of("quarantine"));
                if (node.region.equals(publisher.region)) {
                    expected.add("usage");
                }
                if (node.zone.equals(publisher.zone)) {
                    expected.add("load");
                }
                assertEquals(new TreeSet<>(node.receivedHintKeys), expected, node.name);
                assertEquals(
                        new HashSet<>(node.receivedHintKeys).size(), node.receivedHintKeys.size(), "delivered twice");
            }
        }
    }

    // Guards against a flood of hints that exceeds the byte budget, delays urgent hints or suppresses probes.
    @Test
    public void byteBudgetHoldsUnderHintFlood() {
        SimulatedNetwork network = joinedNetwork(13, 17, 1);
        SimulatedNetwork.Node publisher = network.node("r0");
        long before = publisher.protocol.counters().get(SwimCounter.BYTES_SENT);
        for (int second = 0; second < 30; second++) {
            for (int i = 0; i < 400; i++) {
                Hint hint = new TestHint(HintScope.AVAILABILITY_ZONE, "u" + i, second, false);
                publisher.protocol.publish(hint, network.nowMillis());
            }
            network.run(1_000);
        }
        long sent = publisher.protocol.counters().get(SwimCounter.BYTES_SENT) - before;
        assertTrue(sent <= 30L * 11_000 + 22_000, "sent " + sent);
        assertTrue(publisher.protocol.counters().get(SwimCounter.PACKETS_THROTTLED) > 0);
        assertEquals(network.total(SwimCounter.SUSPICIONS), 0);
        publisher.protocol.publish(new TestHint(HintScope.AVAILABILITY_ZONE, "draining", 1, true), network.nowMillis());
        network.run(2_500);
        long reached = network.running().stream()
                .filter(node -> node.receivedHintKeys.contains("draining"))
                .count();
        assertEquals(reached, 16);
    }

    // Differential test: guards against live members that differ from those by plain heartbeats after random crashes,
    // restarts and partitions of a zone.
    @Test
    public void agreesWithAllToAllHeartbeats() {
        for (int seed = 1; seed <= 5; seed++) {
            SimulatedNetwork network = joinedNetwork(100 + seed, 24, 3);
            List<String> names =
                    network.running().stream().map(node -> node.name).toList();
            AllToAllHeartbeats reference = new AllToAllHeartbeats(names);
            Random random = new Random(seed);
            for (int step = 0; step < 6; step++) {
                SimulatedNetwork.Node node = network.node("r" + (2 + random.nextInt(22)));
                if (node.running) {
                    node.crash();
                } else {
                    network.start(node);
                }
                boolean partitioned = random.nextInt(3) == 0;
                network.blocked = (from, to) -> partitioned && from.zone.equals("zone-1") != to.zone.equals("zone-1");
                Set<String> running = new TreeSet<>();
                network.running().forEach(member -> running.add(member.name));
                network.run(70_000);
                reference.run(
                        70_000, running, (from, to) -> network.blocked.test(network.node(from), network.node(to)));
                for (String observer : running) {
                    assertEquals(network.node(observer).live(), reference.live(observer), "seed " + seed);
                }
            }
        }
    }

    private static SimulatedNetwork joinedNetwork(long seed, int count, int zones) {
        SimulatedNetwork network = new SimulatedNetwork(seed);
        network.startAll(count, zones, 3);
        assertTrue(network.runUntilConsistent(30_000) >= 0);
        network.run(5_000);
        return network;
    }
}
