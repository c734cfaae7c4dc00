package io.agatelane.node.fakes;

import io.agatelane.node.api.Subscription;
import io.agatelane.node.api.TimerService;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;

/** Control thread of one router on a clock shared by all routers of a test; the test can pause or stop it. */
public final class FakeRouterControl implements TimerService, Executor {
    private final FakeControl shared;
    private final Queue<Runnable> queued = new ArrayDeque<>();
    private boolean paused;
    private boolean dead;
    private long wallClockErrorMillis;

    public FakeRouterControl(FakeControl shared) {
        this.shared = shared;
    }

    /** Queues tasks from now on while the clock keeps advancing. */
    public void pause() {
        paused = true;
    }

    /** Runs the queued tasks and stops queueing. */
    public void resume() {
        paused = false;
        while (!paused && !queued.isEmpty()) {
            queued.poll().run();
        }
    }

    /** Stops the control thread: drops queued tasks and runs none any more. */
    public void kill() {
        dead = true;
        queued.clear();
    }

    /** Steps the wall clock of this router; a negative step sets it back. */
    public void stepWallClock(long millis) {
        wallClockErrorMillis += millis;
    }

    public boolean isDead() {
        return dead;
    }

    @Override
    public void execute(Runnable task) {
        shared.execute(() -> run(task));
    }

    @Override
    public long monotonicMillis() {
        return shared.monotonicMillis();
    }

    @Override
    public long epochMillis() {
        return shared.epochMillis() + wallClockErrorMillis;
    }

    @Override
    public Subscription every(String name, long periodMillis, Runnable task) {
        return shared.every(name, periodMillis, () -> run(task));
    }

    @Override
    public Subscription after(long delayMillis, Runnable task) {
        return shared.after(delayMillis, () -> run(task));
    }

    private void run(Runnable task) {
        if (dead) {
            return;
        }
        if (paused) {
            queued.add(task);
        } else {
            task.run();
        }
    }
}
