package io.agatelane.node.forward;

import io.agatelane.node.api.TimerService;
import io.agatelane.node.util.EventLog;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;

/** Runs a check after a delay, of which one is pending at a time. Thread-safe. */
final class PeriodicCheck {
    private static final EventLog LOG = EventLog.of(PeriodicCheck.class);

    private final TimerService timers;
    private final Executor executor;
    private final Runnable check;
    private final AtomicBoolean pending = new AtomicBoolean();

    PeriodicCheck(TimerService timers, Executor executor, Runnable check) {
        this.timers = timers;
        this.executor = executor;
        this.check = check;
    }

    /** Whether a check is pending, so that another one need not be scheduled. */
    boolean isPending() {
        return pending.get();
    }

    /** Schedules a check unless one is pending. */
    void schedule(long delayMillis) {
        if (!pending.compareAndSet(false, true)) {
            return;
        }
        try {
            timers.after(delayMillis, () -> submit(delayMillis));
        } catch (RuntimeException | Error e) {
            pending.set(false);
            throw e;
        }
    }

    // A check that the executor does not take is scheduled again: calls may be waiting for it.
    private void submit(long delayMillis) {
        pending.set(false);
        try {
            executor.execute(check);
        } catch (RuntimeException | Error e) {
            LOG.event("check_not_run").with("action", "retried").error(e);
            schedule(delayMillis);
        }
    }
}
