package io.agatelane.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class HangupSignalTest {
    private static final int WAIT_SECONDS = 30;

    // Guards against a process that a reload of its settings ends while it starts, and against a reload that is lost.
    @Test
    public void signalBeforeTheActionIsKnownCallsItOnce() throws Exception {
        HangupSignal hangup = HangupSignal.install();
        Semaphore calls = new Semaphore(0);
        hangUp();
        // The signal may be handled before or after this; it calls the action once in both cases.
        hangup.onSignal(calls::release);
        assertTrue(calls.tryAcquire(1, WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(calls.availablePermits(), 0);
        hangUp();
        assertTrue(calls.tryAcquire(1, WAIT_SECONDS, TimeUnit.SECONDS));
    }

    private static void hangUp() throws Exception {
        String pid = Long.toString(ProcessHandle.current().pid());
        int exitCode = new ProcessBuilder("kill", "-HUP", pid).start().waitFor();
        assertEquals(exitCode, 0);
    }
}
