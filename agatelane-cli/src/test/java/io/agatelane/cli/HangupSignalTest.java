package io.agatelane.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import sun.misc.Signal;
import sun.misc.SignalHandler;

public class HangupSignalTest {
    private static final int WAIT_SECONDS = 30;

    // Guards against a process that a reload of its settings ends while it starts, and against a reload that is lost.
    @Test
    public void signalBeforeTheActionIsKnownCallsItOnce() throws Exception {
        HangupSignal hangup = HangupSignal.install();
        try {
            Signal.raise(new Signal("HUP"));
            // Signals are handled by threads of their own; the action waits for the second one only.
            Semaphore calls = new Semaphore(0);
            CountDownLatch called = new CountDownLatch(1);
            TimeUnit.MILLISECONDS.sleep(200);
            hangup.onSignal(() -> {
                calls.release();
                called.countDown();
            });
            assertTrue(called.await(WAIT_SECONDS, TimeUnit.SECONDS));
            assertEquals(calls.availablePermits(), 1);
            Signal.raise(new Signal("HUP"));
            assertTrue(calls.tryAcquire(2, WAIT_SECONDS, TimeUnit.SECONDS));
        } finally {
            Signal.handle(new Signal("HUP"), SignalHandler.SIG_IGN);
        }
    }
}
