package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.command.CrashSuspects;
import org.testng.annotations.Test;

public class CrashSuspectsTest {
    private static final long REQUEST = 7;

    // Guards against routers that count crashes separately, so that a request crashes the allowed number of upstreams
    // on each of them.
    @Test
    public void crashesOfAllRoutersAreAdded() {
        CrashSuspects first = new CrashSuspects(1);
        CrashSuspects second = new CrashSuspects(2);
        first.recordCrash(REQUEST, 0);
        first.recordCrash(REQUEST, 10);
        first.takeReports(20).forEach(report -> second.mergeReport(report, 20));
        assertFalse(second.isQuarantined(REQUEST, 20));
        second.recordCrash(REQUEST, 30);
        assertTrue(second.isQuarantined(REQUEST, 30));
        assertFalse(second.isQuarantined(REQUEST + 1, 30));
    }

    // Guards against reports that are counted again because they arrive twice or return through a relay.
    @Test
    public void reportsCountOnce() {
        CrashSuspects first = new CrashSuspects(1);
        first.recordCrash(REQUEST, 0);
        CrashReport report = first.takeReports(0).get(0);
        first.mergeReport(report, 1);
        CrashSuspects second = new CrashSuspects(2);
        second.mergeReport(report, 1);
        second.mergeReport(report, 2);
        second.mergeReport(new CrashReport(REQUEST, 1, 2), 3);
        second.mergeReport(report, 4);
        assertFalse(first.isQuarantined(REQUEST, 5));
        assertFalse(second.isQuarantined(REQUEST, 5));
        assertEquals(first.takeReports(5).size(), 0);
    }

    // Guards against a harmless request that is refused because upstreams crashed for other reasons.
    @Test
    public void successfulResponseOrExpiryClearsARequest() {
        CrashSuspects suspects = new CrashSuspects(1);
        for (int i = 0; i < CrashSuspects.QUARANTINE_CRASHES; i++) {
            suspects.recordCrash(REQUEST, 0);
            suspects.recordCrash(REQUEST + 1, 0);
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
        CrashSuspects suspects = quarantining(1);
        for (long now = 0; now < CrashSuspects.MAX_RETENTION_MILLIS; now += 2_000) {
            assertTrue(suspects.isQuarantined(REQUEST, now), "at " + now);
        }
        assertFalse(suspects.isQuarantined(REQUEST, CrashSuspects.MAX_RETENTION_MILLIS));
    }

    // Guards against a router that starts again, or that the request reaches for the first time after a while, and runs
    // a request that the others refuse.
    @Test
    public void refusingRoutersTellTheOthersAgain() {
        CrashSuspects refusing = quarantining(1);
        refusing.takeReports(0);
        CrashSuspects restarted = new CrashSuspects(2);
        CrashSuspects other = quarantining(3);
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
        CrashSuspects before = quarantining(1);
        CrashSuspects after = new CrashSuspects(1);
        before.takeReports(0).forEach(report -> after.mergeReport(report, 0));
        assertTrue(after.isQuarantined(REQUEST, 0));
    }

    // Guards against a crashing request that is forgotten because another fault breaks off thousands of harmless ones.
    @Test
    public void harmlessRequestsDoNotDisplaceACrashingOne() {
        CrashSuspects suspects = new CrashSuspects(1);
        for (int i = 0; i < CrashSuspects.QUARANTINE_CRASHES; i++) {
            for (int harmless = 0; harmless < 1_500; harmless++) {
                suspects.recordCrash(1_000_000L * (i + 1) + harmless, i);
            }
            suspects.recordCrash(REQUEST, i);
        }
        for (int harmless = 0; harmless < 10_000; harmless++) {
            suspects.mergeReport(new CrashReport(1_000 + harmless, 2, 1), 10);
        }
        assertTrue(suspects.isQuarantined(REQUEST, 10));
    }

    // Guards against a harmless request that stays refused where it is not run, although it was answered elsewhere.
    @Test
    public void successClearsARequestOnAllRouters() {
        CrashSuspects answering = quarantining(1);
        CrashSuspects refusing = new CrashSuspects(2);
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
        CrashSuspects answering = quarantining(1);
        CrashSuspects refusing = new CrashSuspects(2);
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
        CrashSuspects first = new CrashSuspects(1);
        CrashSuspects second = new CrashSuspects(2);
        first.recordCrash(REQUEST, 0);
        first.takeReports(0).forEach(report -> second.mergeReport(report, 1));
        first.recordSuccess(REQUEST, 2);
        first.recordCrash(REQUEST, 3);
        first.recordCrash(REQUEST, 4);
        first.takeReports(5).forEach(report -> second.mergeReport(report, 6));
        assertFalse(second.isQuarantined(REQUEST, 7));
        second.recordCrash(REQUEST, 8);
        assertTrue(second.isQuarantined(REQUEST, 9));
    }

    private static CrashSuspects quarantining(long self) {
        CrashSuspects suspects = new CrashSuspects(self);
        for (int i = 0; i < CrashSuspects.QUARANTINE_CRASHES; i++) {
            suspects.recordCrash(REQUEST, 0);
        }
        return suspects;
    }
}
