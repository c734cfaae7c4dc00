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
        first.takeUnsent().forEach(report -> second.mergeReport(report, 20));
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
        CrashReport report = first.takeUnsent().get(0);
        first.mergeReport(report, 1);
        CrashSuspects second = new CrashSuspects(2);
        second.mergeReport(report, 1);
        second.mergeReport(report, 2);
        second.mergeReport(new CrashReport(REQUEST, 1, 2), 3);
        second.mergeReport(report, 4);
        assertFalse(first.isQuarantined(REQUEST, 5));
        assertFalse(second.isQuarantined(REQUEST, 5));
        assertEquals(first.takeUnsent().size(), 0);
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
        suspects.recordSuccess(REQUEST);
        assertFalse(suspects.isQuarantined(REQUEST, 1));
        assertTrue(suspects.isQuarantined(REQUEST + 1, 1));
        assertFalse(suspects.isQuarantined(REQUEST + 1, CrashSuspects.RETENTION_MILLIS));
        assertTrue(suspects.isEmpty());
    }
}
