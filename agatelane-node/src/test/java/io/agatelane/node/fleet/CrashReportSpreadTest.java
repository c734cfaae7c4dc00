package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.RequestWork;
import io.agatelane.core.fleet.command.CrashSuspects;
import io.agatelane.node.fleet.GossipCluster.Router;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class CrashReportSpreadTest {
    private static final int ROUTERS = 58;
    private static final long REQUEST = 7;
    private static final long PART = 8;
    // The time that the users' rule allows after the third crash.
    private static final long ALLOWED_MILLIS = 3_000;

    private GossipCluster cluster;
    private long crashed;

    @BeforeMethod
    public void start() {
        crashed = 0;
        cluster = new GossipCluster(ROUTERS);
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    // Guards against a request that routers run after its third crash because single datagrams were lost.
    @Test(dataProvider = "seeds")
    public void allRoutersRefuseDespiteLostDatagrams(long seed) {
        cluster.routers.forEach(router -> router.loseIncoming(0.2));
        Random random = new Random(seed);
        for (int i = 0; i < CrashSuspects.QUARANTINE_CRASHES; i++) {
            crash(cluster.routers.get(random.nextInt(ROUTERS)));
            cluster.control.advance(random.nextInt(500));
        }
        cluster.control.advance(ALLOWED_MILLIS);
        assertEquals(running(cluster.routers), List.of());
    }

    // Guards against crashes that only a dead relay was told of.
    @Test
    public void allRoutersRefuseAlthoughTheirRelayHasDied() {
        Router dead = cluster.relays().get(0);
        dead.routerControl.kill();
        crashAtThree(ofZone(dead.entry.zone()).stream()
                .filter(router -> router != dead)
                .toList());
        cluster.control.advance(ALLOWED_MILLIS);
        assertEquals(
                running(cluster.routers.stream()
                        .filter(router -> router != dead)
                        .toList()),
                List.of());
    }

    // Guards against ends of engines that only a dead relay was told of.
    @Test
    public void allRoutersRefuseAPartAlthoughTheirRelayHasDied() {
        Router dead = cluster.relays().get(0);
        dead.routerControl.kill();
        List<Router> members = ofZone(dead.entry.zone()).stream()
                .filter(router -> router != dead)
                .toList();
        for (int engine = 0; engine < CrashSuspects.QUARANTINE_CRASHES; engine++) {
            long now = cluster.control.monotonicMillis();
            members.get(engine).state.partSuspects().recordEnd(List.of(PART), engine, now);
            cluster.control.advance(150);
        }
        cluster.control.advance(ALLOWED_MILLIS);
        long now = cluster.control.monotonicMillis();
        assertEquals(
                cluster.routers.stream()
                        .filter(router -> router != dead
                                && router.state
                                        .partSuspects()
                                        .quarantineMillis(List.of(PART), now)
                                        .isEmpty())
                        .map(router -> router.entry.vm())
                        .toList(),
                List.of());
    }

    // Guards against routers of one zone that use different relays and count crashes separately.
    @Test(dataProvider = "seeds")
    public void allRoutersRefuseWhileAZoneUsesTwoRelays(long seed) {
        Router relay = cluster.relays().get(0);
        List<Router> members = ofZone(relay.entry.zone()).stream()
                .filter(router -> router != relay)
                .collect(Collectors.toList());
        Collections.shuffle(members, new Random(seed));
        splitZone(members);
        crashAtThree(members);
        cluster.control.advance(ALLOWED_MILLIS);
        assertEquals(running(cluster.routers), List.of());
    }

    // Guards against loads that two relays of a zone pass on and that count twice.
    @Test
    public void loadsCountOnceWhileAZoneUsesTwoRelays() {
        Router relay = cluster.relays().get(0);
        splitZone(ofZone(relay.entry.zone()).stream()
                .filter(router -> router != relay)
                .toList());
        long now = cluster.control.monotonicMillis();
        cluster.routers.forEach(
                router -> router.state.load(router.upstream()).recordSent(router, new RequestWork(0, 10, 0), now));
        cluster.control.advance(2_000);
        for (Router router : cluster.routers) {
            assertTrue(
                    router.estimatedRequests() <= ROUTERS + 0.01, router.entry.vm() + " " + router.estimatedRequests());
        }
    }

    // Guards against a router that was frozen or cut off during the crashes and runs the request when it is back.
    @Test
    public void routerThatMissedTheCrashesLearnsOfThem() {
        Router away = cluster.routers.get(20);
        away.setDropsIncoming(true);
        cluster.control.advance(2_000);
        crashAtThree(cluster.routers.subList(0, 20));
        cluster.control.advance(10_000);
        away.setDropsIncoming(false);
        cluster.control.advance(ALLOWED_MILLIS);
        assertEquals(running(List.of(away)), List.of());
    }

    // Guards against reports that a restarted router makes in vain because it counts from one again.
    @Test
    public void crashesBeforeAndAfterARestartAreAdded() {
        Router restarted = cluster.routers.get(20);
        crash(restarted);
        cluster.control.advance(1_000);
        FleetState after = new FleetState();
        after.suspects().recordCrash(REQUEST, ++crashed, cluster.control.monotonicMillis());
        Router other = cluster.routers.get(30);
        after.suspects()
                .takeReports(cluster.control.monotonicMillis())
                .forEach(report -> other.state.suspects().mergeReport(report, cluster.control.monotonicMillis()));
        assertFalse(refuses(other));
        crash(other);
        assertEquals(running(List.of(other)), List.of());
    }

    private List<Router> ofZone(String zone) {
        return cluster.routers.stream()
                .filter(router -> router.entry.zone().equals(zone))
                .toList();
    }

    // Half of the members receive nothing for longer than a relay may be silent, and avoid the relay from then on.
    private void splitZone(List<Router> members) {
        List<Router> avoiding = members.subList(0, members.size() / 2);
        avoiding.forEach(router -> router.setDropsIncoming(true));
        cluster.control.advance(1_000);
        avoiding.forEach(router -> router.setDropsIncoming(false));
        cluster.control.advance(500);
    }

    private void crashAtThree(List<Router> routers) {
        for (int i = 0; i < CrashSuspects.QUARANTINE_CRASHES; i++) {
            crash(routers.get(i));
            cluster.control.advance(150);
        }
    }

    private void crash(Router router) {
        router.state.suspects().recordCrash(REQUEST, ++crashed, cluster.control.monotonicMillis());
    }

    private List<String> running(List<Router> routers) {
        return routers.stream()
                .filter(router -> !refuses(router))
                .map(router -> router.entry.vm())
                .toList();
    }

    private boolean refuses(Router router) {
        return router.state.suspects().isQuarantined(REQUEST, cluster.control.monotonicMillis());
    }
}
