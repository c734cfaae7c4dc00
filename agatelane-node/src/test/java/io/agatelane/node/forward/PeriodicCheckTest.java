package io.agatelane.node.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.node.fakes.FakeControl;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

public class PeriodicCheckTest {
    private static final long DELAY_MILLIS = 25;

    // Guards against calls that wait until their deadlines because the thread pool rejected one check.
    @Test
    public void rejectedCheckIsRunLater() {
        FakeControl control = new FakeControl();
        AtomicInteger offers = new AtomicInteger();
        AtomicInteger runs = new AtomicInteger();
        PeriodicCheck check = new PeriodicCheck(
                control,
                task -> {
                    if (offers.incrementAndGet() <= 3) {
                        throw new RejectedExecutionException("the pool is full");
                    }
                    task.run();
                },
                runs::incrementAndGet);
        check.schedule(DELAY_MILLIS);
        check.schedule(DELAY_MILLIS);
        assertTrue(check.isPending());
        control.advance(10 * DELAY_MILLIS);
        assertEquals(offers.get(), 4);
        assertEquals(runs.get(), 1);
        assertFalse(check.isPending());
    }
}
