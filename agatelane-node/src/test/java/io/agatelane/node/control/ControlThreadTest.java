package io.agatelane.node.control;

import static org.testng.Assert.assertTrue;

import io.agatelane.node.util.Futures;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class ControlThreadTest {
    private static final int WAIT_SECONDS = 20;

    // Guards against a periodic task that never runs again because the heap was exhausted once.
    @Test
    public void periodicTaskRunsAgainAfterAnError() throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        try (ControlThread control = new ControlThread("vm-1")) {
            control.every("test", 1, () -> {
                runs.countDown();
                throw new OutOfMemoryError("of the test");
            });
            assertTrue(runs.await(WAIT_SECONDS, TimeUnit.SECONDS));
        }
    }

    // Guards against a future that never ends because its value could not be computed.
    @Test
    public void futureEndsWithAnError() {
        CompletableFuture<String> future = new CompletableFuture<>();
        Futures.complete(future, () -> {
            throw new OutOfMemoryError("of the test");
        });
        assertTrue(future.isCompletedExceptionally());
    }
}
