package io.agatelane.node.control;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.node.fakes.FakeControl;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

public class WatchdogTest {
    private static final long MAX_SILENT_MILLIS = 4_000;

    // Guards against a loop that stops without notice, and against one that is restarted although it runs.
    @Test
    public void onlySilentLoopsAreRestarted() {
        FakeControl control = new FakeControl();
        MetricRegistry metrics = new MetricRegistry();
        Watchdog watchdog = new Watchdog(control, metrics);
        AtomicInteger restarts = new AtomicInteger();
        Watchdog.Heartbeat running = watchdog.watch("running", MAX_SILENT_MILLIS, () -> restarts.addAndGet(100));
        watchdog.watch("stopped", MAX_SILENT_MILLIS, restarts::incrementAndGet);
        control.every("loop", MAX_SILENT_MILLIS / 2, running::beat);
        watchdog.start();
        control.advance(MAX_SILENT_MILLIS);
        assertEquals(restarts.get(), 0);
        control.advance(2_000);
        assertEquals(restarts.get(), 1);
        assertEquals(metrics.counter("loops_restarted_total").getCount(), 1);
        control.advance(3 * MAX_SILENT_MILLIS);
        assertEquals(restarts.get(), 3);
    }
}
