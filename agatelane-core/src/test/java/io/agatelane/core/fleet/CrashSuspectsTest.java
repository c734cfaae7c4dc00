package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.command.CrashSuspects;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class CrashSuspectsTest {
    private static final long REQUEST = 7;

    // Guards against routers that count crashes separately, so that a request crashes the allowed number of upstreams
    // on each of them.
    @Test
    public void crashesOfAllRoutersAreAdded() {
        CrashSuspects first = new CrashSuspects();
        CrashSuspects second = new CrashSuspects();
        first.recordCrash(REQUEST, 11, 0);
        first.recordCrash(REQUEST, 12, 10);
        first.takeReports(20).forEach(report -> second.mergeReport(report, 20));
        assertFalse(second.isQuarantined(REQUEST, 20));
        second.recordCrash(REQUEST, 13, 30);
        assertTrue(second.isQuarantined(REQUEST, 30));
        assertFalse(second.isQuarantined(REQUEST + 1, 30));
    }

    // Guards against reports that are counted again because they arrive twice or return through a relay.
    @Test
    public void reportsCountOnce() {
        CrashSuspects first = new CrashSuspects();
        first.recordCrash(REQUEST, 11, 0);
        CrashReport report = first.takeReports(0).get(0);
        first.mergeReport(report, 1);
        CrashSuspects second = new CrashSuspects();
        second.mergeReport(report, 1);
        second.mergeReport(report, 2);
        second.mergeReport(CrashReport.crash(REQUEST, 12, 0, false), 3);
        second.mergeReport(report, 4);
        assertFalse(first.isQuarantined(REQUEST, 5));
        assertFalse(second.isQuarantined(REQUEST, 5));
        assertEquals(first.takeReports(5).size(), 0);
    }

    // Guards against a harmless request that is refused because upstreams crashed for other reasons.
    @Test
    public void successfulResponseOrExpiryClearsARequest() {
        CrashSuspects suspects = new CrashSuspects();
        for (int i = 0; i < CrashSuspects.QUARANTINE_CRASHES; i++) {
            suspects.recordCrash(REQUEST, 11 + i, 0);
            suspects.recordCrash(REQUEST + 1, 11 + i, 0);
        }
        assertTrue(suspects.isQuarantined(REQUEST, 1));
        suspects.recordSuccess(REQUEST, 1);
        assertFalse(suspects.isQuarantined(REQUEST, 1));
        assertTrue(suspects.isQuarantined(REQUEST + 1, 1));
        // It came last at 1 ms.
        assertTrue(suspects.isQuarantined(REQUEST + 1, CrashSuspects.RETENTION_MILLIS));
        assertFalse(suspects.isQuarantined(REQUEST + 1, 2 * CrashSuspects.RETENTION_MILLIS));
        assertTrue(suspects.isEmpty());
    }

    // Guards against a request that crashes upstreams again each minute although it has come all the while.
    @Test
    public void requestThatKeepsComingStaysQuarantined() {
        CrashSuspects suspects = quarantining();
        for (long now = 0; now < CrashSuspects.MAX_RETENTION_MILLIS; now += 2_000) {
            assertTrue(suspects.isQuarantined(REQUEST, now), "at " + now);
        }
        assertFalse(suspects.isQuarantined(REQUEST, CrashSuspects.MAX_RETENTION_MILLIS));
    }

    // Guards against a router that starts again, or that the request reaches for the first time after a while, and runs
    // a request that the others refuse.
    @Test
    public void refusingRoutersTellTheOthersAgain() {
        CrashSuspects refusing = quarantining();
        refusing.takeReports(0);
        CrashSuspects restarted = new CrashSuspects();
        CrashSuspects other = quarantining();
        for (long now = 0; now <= 90_000; now += 2_000) {
            refusing.isQuarantined(REQUEST, now);
            for (CrashReport report : refusing.takeReports(now)) {
                restarted.mergeReport(report, now);
                other.mergeReport(report, now);
            }
        }
        assertTrue(restarted.isQuarantined(REQUEST, 90_000));
        assertTrue(other.isQuarantined(REQUEST, 90_000));
    }

    // Guards against a router that after its restart ignores what it reported before.
    @Test
    public void ownReportsCountAfterARestart() {
        CrashSuspects before = quarantining();
        CrashSuspects after = new CrashSuspects();
        before.takeReports(0).forEach(report -> after.mergeReport(report, 0));
        assertTrue(after.isQuarantined(REQUEST, 0));
    }

    // Guards against a crashing request that is forgotten because another fault breaks off thousands of harmless ones.
    @Test
    public void harmlessRequestsDoNotDisplaceACrashingOne() {
        CrashSuspects suspects = new CrashSuspects();
        for (int i = 0; i < CrashSuspects.QUARANTINE_CRASHES; i++) {
            for (int harmless = 0; harmless < 1_500; harmless++) {
                suspects.recordCrash(1_000_000L * (i + 1) + harmless, 11 + i, i);
            }
            suspects.recordCrash(REQUEST, 11 + i, i);
        }
        for (int harmless = 0; harmless < 10_000; harmless++) {
            suspects.mergeReport(CrashReport.crash(1_000 + harmless, 11, 0, false), 10);
        }
        assertTrue(suspects.isQuarantined(REQUEST, 10));
    }

    // Guards against a harmless request that stays refused where it is not run, although it was answered elsewhere.
    @Test
    public void successClearsARequestOnAllRouters() {
        CrashSuspects answering = quarantining();
        CrashSuspects refusing = new CrashSuspects();
        answering.takeReports(0).forEach(report -> refusing.mergeReport(report, 1));
        assertTrue(refusing.isQuarantined(REQUEST, 1));
        answering.recordSuccess(REQUEST, 2);
        answering.takeReports(2).forEach(report -> refusing.mergeReport(report, 3));
        assertFalse(refusing.isQuarantined(REQUEST, 3));
    }

    // Guards against reports that are repeated after a clearance and count again, and against a clearance that a router
    // never learns of because its only datagram was lost.
    @Test
    public void clearanceOutlastsRepeatedReports() {
        CrashSuspects answering = quarantining();
        CrashSuspects refusing = new CrashSuspects();
        answering.takeReports(0).forEach(report -> refusing.mergeReport(report, 1));
        answering.recordSuccess(REQUEST, 2);
        for (long now = 2; now < 4_000; now += 200) {
            answering.takeReports(now);
        }
        refusing.takeReports(4_000).forEach(report -> answering.mergeReport(report, 4_000));
        assertFalse(answering.isQuarantined(REQUEST, 4_000));
        answering.takeReports(4_000).forEach(report -> refusing.mergeReport(report, 4_001));
        assertFalse(refusing.isQuarantined(REQUEST, 4_001));
    }

    // Guards against a crash after a clearance that counts as one that the other routers know already.
    @Test
    public void crashAfterAClearanceIsNew() {
        CrashSuspects first = new CrashSuspects();
        CrashSuspects second = new CrashSuspects();
        first.recordCrash(REQUEST, 11, 0);
        first.takeReports(0).forEach(report -> second.mergeReport(report, 1));
        first.recordSuccess(REQUEST, 2);
        first.recordCrash(REQUEST, 12, 10_000);
        first.recordCrash(REQUEST, 13, 20_000);
        first.takeReports(20_000).forEach(report -> second.mergeReport(report, 20_001));
        assertFalse(second.isQuarantined(REQUEST, 20_002));
        second.recordCrash(REQUEST, 14, 30_000);
        assertTrue(second.isQuarantined(REQUEST, 30_001));
    }

    // Guards against a single crash that counts several times because several routers have seen it, or have learned of
    // it in several ways.
    @Test
    public void oneCrashCountsOnceWhoeverHasSeenIt() {
        CrashSuspects first = new CrashSuspects();
        first.recordCrash(REQUEST, 11, 0);
        for (int i = 0; i < 3; i++) {
            CrashSuspects other = new CrashSuspects();
            other.recordCrash(REQUEST, 11, 100);
            other.recordEnd(REQUEST, 11, 0, 4_000);
            other.takeReports(4_000).forEach(report -> first.mergeReport(report, 4_000));
        }
        assertFalse(first.isQuarantined(REQUEST, 4_000));
    }

    // Guards against an upstream whose entry names no start time, and whose crashes all count as one.
    @Test
    public void laterCrashesOfOneUpstreamCount() {
        CrashSuspects suspects = new CrashSuspects();
        suspects.recordCrash(REQUEST, 11, 0);
        suspects.recordCrash(REQUEST, 11, 4_000);
        assertFalse(suspects.isQuarantined(REQUEST, 4_000));
        suspects.recordCrash(REQUEST, 11, 8_000);
        assertTrue(suspects.isQuarantined(REQUEST, 8_000));
    }

    /** What crashes look like to the routers. */
    private enum Sight {
        SEEN {
            @Override
            void record(CrashSuspects suspects, int upstream, long millis) {
                suspects.recordCrash(REQUEST, upstream, millis);
            }
        },
        GIVEN_UP_BEFORE {
            @Override
            void record(CrashSuspects suspects, int upstream, long millis) {
                suspects.recordEnd(REQUEST, upstream, millis, millis + 3_600);
            }
        };

        abstract void record(CrashSuspects suspects, int upstream, long millis);
    }

    @DataProvider
    public Object[][] failures() {
        // A pause of 0 ms stands for upstreams that fail together.
        return new Object[][] {
            {Sight.SEEN, 0L}, {Sight.SEEN, 8_000L}, {Sight.GIVEN_UP_BEFORE, 0L}, {Sight.GIVEN_UP_BEFORE, 8_000L},
        };
    }

    // Guards against a request that crashes upstreams and is run after its third crash, however the crashes are seen.
    @Test(dataProvider = "failures")
    public void requestThatWasNeverAnsweredIsRefusedAfterThreeCrashes(Sight sight, long pauseMillis) {
        List<CrashSuspects> routers = fleet();
        for (int upstream = 0; upstream < 3; upstream++) {
            long millis = 100_000 + upstream * pauseMillis;
            // Few callers send it, so one router sees each crash.
            sight.record(routers.get(upstream), upstream, millis);
            exchange(routers, millis);
        }
        routers.forEach(router -> assertTrue(router.isQuarantined(REQUEST, 125_000)));
    }

    // Guards against a request of many callers that is refused because all upstreams failed together, and that nothing
    // clears because it is not run any more.
    @Test(dataProvider = "failures")
    public void requestOfManyCallersIsServedAfterUpstreamsFailed(Sight sight, long pauseMillis) {
        List<CrashSuspects> routers = fleet();
        long millis = 100_000;
        for (int upstream = 0; upstream < 3; upstream++) {
            for (CrashSuspects router : routers) {
                if (upstream == 0 || pauseMillis > 0) {
                    router.recordSuccess(REQUEST, millis - 200);
                }
                sight.record(router, upstream, millis);
            }
            exchange(routers, millis);
            millis += pauseMillis;
        }
        long afterwards = millis + 10_000;
        routers.forEach(router -> assertFalse(router.isQuarantined(REQUEST, afterwards)));
    }

    // Guards against a request of many callers that is refused because all upstreams failed together twice, and the
    // only one left in between has answered it.
    @Test
    public void requestOfManyCallersIsServedAfterUpstreamsFailedTwice() {
        CrashSuspects suspects = new CrashSuspects();
        long millis = 100_000;
        for (int failure = 0; failure < 4; failure++) {
            suspects.recordSuccess(REQUEST, millis - 500);
            for (int upstream = 0; upstream < 3; upstream++) {
                suspects.recordCrash(REQUEST, 10L * failure + upstream, millis + 100 * upstream);
            }
            millis += 12_000;
            assertFalse(suspects.isQuarantined(REQUEST, millis - 1_000), "after failure " + failure);
        }
    }

    // Guards against a request that was answered once and crashes upstreams since, for example since their release.
    @Test
    public void requestThatWasAnsweredBeforeIsRefusedAfterThreeSeparateCrashes() {
        CrashSuspects suspects = new CrashSuspects();
        suspects.recordSuccess(REQUEST, 0);
        for (int upstream = 0; upstream < 3; upstream++) {
            assertFalse(suspects.isQuarantined(REQUEST, 1_000 + upstream * 6_000));
            suspects.recordCrash(REQUEST, upstream, 1_000 + upstream * 6_000);
        }
        assertTrue(suspects.isQuarantined(REQUEST, 14_000));
    }

    // Guards against a request that is suspected although it was answered after it had been given up.
    @Test
    public void answerAfterTheRequestWasGivenUpSpeaksForIt() {
        CrashSuspects suspects = new CrashSuspects();
        for (int upstream = 0; upstream < 3; upstream++) {
            long givenUp = 10_000L * upstream;
            suspects.recordSuccess(REQUEST, givenUp + 100);
            assertFalse(suspects.recordEnd(REQUEST, upstream, givenUp, givenUp + 3_600));
        }
        assertFalse(suspects.isQuarantined(REQUEST, 30_000));
    }

    private static List<CrashSuspects> fleet() {
        return List.of(new CrashSuspects(), new CrashSuspects(), new CrashSuspects());
    }

    private static void exchange(List<CrashSuspects> routers, long fromMillis) {
        for (long now = fromMillis; now < fromMillis + 6_000; now += 200) {
            for (CrashSuspects from : routers) {
                for (CrashReport report : from.takeReports(now)) {
                    for (CrashSuspects to : routers) {
                        to.mergeReport(report, now);
                    }
                }
            }
        }
    }

    private static CrashSuspects quarantining() {
        CrashSuspects suspects = new CrashSuspects();
        for (int i = 0; i < CrashSuspects.QUARANTINE_CRASHES; i++) {
            suspects.recordCrash(REQUEST, 11 + i, 0);
        }
        return suspects;
    }
}
