package io.agatelane.node.forward;

import static org.testng.Assert.assertEquals;

import java.util.ArrayDeque;
import java.util.Queue;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.util.thread.TimerScheduler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class CallerDisconnectMonitorTest {
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final TimerScheduler scheduler = new TimerScheduler();
    private ByteArrayEndPoint endPoint;
    private int gone;

    @BeforeMethod
    public void start() throws Exception {
        scheduler.start();
        endPoint = new ByteArrayEndPoint(scheduler, 0);
        gone = 0;
        tasks.clear();
    }

    @AfterMethod
    public void stop() throws Exception {
        scheduler.stop();
    }

    // Guards against a request that is forwarded although its caller had left before the router read the request, as
    // after a restart of the router.
    @Test
    public void closeThatHasArrivedIsReportedAtOnce() {
        endPoint.addInputEOF();
        monitor().start();
        assertEquals(gone, 1);
    }

    // Guards against a caller that waits and is taken for one that has left.
    @Test
    public void openConnectionIsNotReported() {
        CallerDisconnectMonitor monitor = monitor();
        monitor.start();
        assertEquals(gone, 0);
        monitor.stop();
        endPoint.addInputEOF();
        assertEquals(gone, 0);
    }

    private CallerDisconnectMonitor monitor() {
        return new CallerDisconnectMonitor(new IdleConnection(endPoint), () -> gone++);
    }

    /** A connection that reads nothing itself. */
    private final class IdleConnection extends AbstractConnection {
        private IdleConnection(ByteArrayEndPoint endPoint) {
            super(endPoint, tasks::add);
        }

        @Override
        public void onFillable() {
            throw new AssertionError("the connection does not read");
        }
    }
}
