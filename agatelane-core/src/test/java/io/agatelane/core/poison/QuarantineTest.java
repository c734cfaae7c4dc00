package io.agatelane.core.poison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.poison.command.CrashRecorder;
import io.agatelane.core.poison.query.QuarantineCheck;
import org.testng.annotations.Test;

public class QuarantineTest {
    private final SuspectTable table = new SuspectTable();
    private final CrashRecorder recorder = new CrashRecorder(table);
    private final QuarantineCheck check = new QuarantineCheck(table);

    // Guards against a request that crashes a third engine, whichever routers observed the first two crashes.
    @Test
    public void twoCrashesQuarantine() {
        recorder.recordCrash("local", 0);
        assertTrue(check.isSuspect("local", 1));
        assertFalse(check.isQuarantined("local", 1));
        recorder.recordCrash("local", 10);
        assertTrue(check.isQuarantined("local", 11));
        recorder.recordCrash("split", 0);
        assertTrue(recorder.mergeRemoteCrashes("split", 1, 600_000, 10));
        assertTrue(check.isQuarantined("split", 11));
    }

    // Guards against a sound request that many callers repeat and that is refused because engines failed together.
    @Test
    public void answeredRequestIsNotBlamedForEnginesThatFailTogether() {
        recorder.recordAnswer("popular", 0);
        recorder.recordCrash("popular", 1_000);
        recorder.recordCrash("popular", 2_000);
        assertFalse(recorder.mergeRemoteCrashes("popular", 1, 600_000, 2_500));
        assertFalse(check.isQuarantined("popular", 3_000));
        recorder.recordCrash("popular", 8_000);
        assertTrue(check.isQuarantined("popular", 8_000));
        recorder.recordAnswer("popular", 9_000);
        assertFalse(check.isSuspect("popular", 9_000));
    }

    // Guards against a repeated report that counts one crash twice.
    @Test
    public void repeatedReportCountsOnce() {
        assertFalse(recorder.mergeRemoteCrashes("x", 1, 600_000, 0));
        assertFalse(recorder.mergeRemoteCrashes("x", 1, 600_000, 1));
        assertEquals(check.crashes("x", 2), 1);
    }

    // Guards against a quarantine that never expires.
    @Test
    public void quarantineEnds() {
        recorder.recordCrash("y", 0);
        recorder.recordCrash("y", 0);
        assertTrue(check.isQuarantined("y", SuspectTable.QUARANTINE_MILLIS - 1));
        assertFalse(check.isSuspect("y", SuspectTable.QUARANTINE_MILLIS));
        assertEquals(recorder.recordCrash("y", SuspectTable.QUARANTINE_MILLIS).crashes(), 1);
    }

    // Guards against a request that crashes engines again each ten minutes although it has come all the while.
    @Test
    public void requestThatKeepsComingStaysQuarantined() {
        recorder.recordCrash("z", 0);
        recorder.recordCrash("z", 0);
        for (long now = 0; now < SuspectTable.MAX_QUARANTINE_MILLIS; now += 60_000) {
            assertTrue(check.isQuarantined("z", now), "at " + now);
            recorder.recordRefused("z", now);
        }
        assertFalse(check.isQuarantined("z", SuspectTable.MAX_QUARANTINE_MILLIS));
    }
}
