package io.agatelane.node.control;

import io.agatelane.node.api.Subscription;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.util.EventLog;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/** Executor and timer service of the single thread that owns all control state. */
public final class ControlThread implements Executor, TimerService, AutoCloseable {
    private static final EventLog LOG = EventLog.of(ControlThread.class);

    private static final LongAdder LOST_LINES = new LongAdder();

    private final ScheduledThreadPoolExecutor executor;

    public ControlThread(String vmName) {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "control-" + vmName);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public void execute(Runnable task) {
        executor.execute(() -> runGuarded("task", task));
    }

    /** Number of failures of tasks that could not be logged, because the heap was exhausted. */
    public long unloggedFailures() {
        return LOST_LINES.sum();
    }

    @Override
    public long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public long epochMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Subscription every(String name, long periodMillis, Runnable task) {
        Future<?> future = executor.scheduleWithFixedDelay(
                () -> runGuarded(name, task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public Subscription after(long delayMillis, Runnable task) {
        Future<?> future = executor.schedule(() -> runGuarded("timer", task), delayMillis, TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    // The executor never runs a periodic task again once it has thrown, so failures are caught and logged here.
    private static void runGuarded(String name, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            logFailure(name, e);
        }
    }

    private static void logFailure(String name, Throwable failure) {
        try {
            LOG.event("control_task_failed").with("task", name).error(failure);
        } catch (OutOfMemoryError e) {
            // The line needs memory itself, and a lost line is less harm than a lost timer.
            LOST_LINES.increment();
        }
    }
}
