package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.command.UpstreamNotices;
import java.util.Set;
import org.testng.annotations.Test;

public class UpstreamNoticesTest {
    private static final String KEY = "i-1@5";
    private final UpstreamNotices notices = new UpstreamNotices();

    // Guards against a start of an upstream that is taken for the one before it, which left.
    @Test
    public void newIncarnationIsNotLeaving() {
        assertTrue(notices.recordLeaving(KEY, 0));
        assertFalse(notices.recordLeaving(KEY, 10), "the time of the first notice counts");
        assertFalse(notices.isLeaving("i-1@6"));
        assertTrue(notices.isUsableAsLast(KEY, 999));
        assertFalse(notices.isUsableAsLast(KEY, 1_000));
    }

    // Guards against an upstream that leaves, whose entry lapses in an outage of the store and comes back.
    @Test
    public void leavingIsRememberedWithoutAnEntry() {
        notices.recordLeaving(KEY, 0);
        notices.forgetOld(Set.of(), 60_000);
        assertTrue(notices.isLeaving(KEY));
        notices.forgetOld(Set.of(), 601_000);
        assertFalse(notices.isLeaving(KEY));
    }

    // Guards against a shorter pause that ends a longer one, and against a value that takes an upstream out for good.
    @Test
    public void longestPauseCounts() {
        assertTrue(notices.recordPause(KEY, 30_000, 0));
        assertFalse(notices.recordPause(KEY, 600, 100));
        assertEquals(notices.pauseMillis(KEY, 1_000), 29_000);
        assertEquals(notices.pauseMillis(KEY, 30_000), 0);
        notices.recordPause(KEY, Long.MAX_VALUE, 40_000);
        assertEquals(notices.pauseMillis(KEY, 40_000), UpstreamNotices.MAX_PAUSE_MILLIS);
        assertEquals(notices.pauseMillis("i-2@1", 40_000), 0);
    }
}
