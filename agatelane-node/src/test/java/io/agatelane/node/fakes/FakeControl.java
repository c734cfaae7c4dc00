package io.agatelane.node.fakes;

import io.agatelane.node.api.Subscription;
import io.agatelane.node.api.TimerService;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;

/** A control thread and timer service with a clock that only moves when a test advances it. */
public final class FakeControl implements TimerService, Executor {
    private static final long EPOCH_START_MILLIS = 1_700_000_000_000L;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>(
            Comparator.<Task>comparingLong(task -> task.dueMillis).thenComparingLong(t -> t.order));
    private long nowMillis;
    private long nextOrder;

    @Override
    public synchronized void execute(Runnable task) {
        schedule(0, 0, task);
    }

    @Override
    public synchronized long monotonicMillis() {
        return nowMillis;
    }

    @Override
    public synchronized long epochMillis() {
        return EPOCH_START_MILLIS + nowMillis;
    }

    @Override
    public Subscription every(String name, long periodMillis, Runnable task) {
        return schedule(periodMillis, periodMillis, task);
    }

    @Override
    public Subscription after(long delayMillis, Runnable task) {
        return schedule(delayMillis, 0, task);
    }

    /** Runs all tasks that are due now, including those that the tasks add. */
    public void runPending() {
        advance(0);
    }

    /** Advances the clock and runs the tasks that become due, in order of time. */
    public void advance(long millis) {
        long targetMillis = monotonicMillis() + millis;
        Task task = poll(targetMillis);
        while (task != null) {
            task.action.run();
            task = poll(targetMillis);
        }
        synchronized (this) {
            nowMillis = targetMillis;
        }
    }

    private synchronized Subscription schedule(long delayMillis, long periodMillis, Runnable action) {
        Task task = new Task(action, periodMillis);
        task.dueMillis = nowMillis + Math.max(0, delayMillis);
        task.order = nextOrder++;
        tasks.add(task);
        return () -> cancel(task);
    }

    private synchronized void cancel(Task task) {
        task.cancelled = true;
        tasks.remove(task);
    }

    private synchronized Task poll(long targetMillis) {
        Task task = tasks.peek();
        if (task == null || task.dueMillis > targetMillis) {
            return null;
        }
        tasks.poll();
        nowMillis = Math.max(nowMillis, task.dueMillis);
        if (task.periodMillis > 0 && !task.cancelled) {
            task.dueMillis += task.periodMillis;
            task.order = nextOrder++;
            tasks.add(task);
        }
        return task;
    }

    private static final class Task {
        private final Runnable action;
        private final long periodMillis;
        private long dueMillis;
        private long order;
        private boolean cancelled;

        private Task(Runnable action, long periodMillis) {
            this.action = action;
            this.periodMillis = periodMillis;
        }
    }
}
