package io.agatelane.node.control;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.util.EventLog;
import java.util.ArrayList;
import java.util.List;

/**
 * Starts loops again that have stopped. Runs on the control thread.
 *
 * <p>A loop whose completion schedules its next run ends for good when that completion fails, for example because the
 * heap is exhausted. Silence is counted in checks and not in time, so that a process that was suspended or got no
 * processor time does not take its loops for stopped.
 */
public final class Watchdog {
    private static final EventLog LOG = EventLog.of(Watchdog.class);
    private static final long CHECK_MILLIS = 1_000;

    private final TimerService timers;
    private final MetricRegistry metrics;
    private final List<Loop> loops = new ArrayList<>();

    /** Creates a watchdog; {@link #start} begins to check. */
    public Watchdog(TimerService timers, MetricRegistry metrics) {
        this.timers = timers;
        this.metrics = metrics;
    }

    /** Shows that a loop runs. */
    @FunctionalInterface
    public interface Heartbeat {
        /** A heartbeat that nothing observes. */
        Heartbeat NONE = () -> {};

        /** Must be called with each run of the loop. */
        void beat();
    }

    private static final class Loop implements Heartbeat {
        private final String name;
        private final long maxSilentChecks;
        private final Runnable restart;
        private long silentChecks;

        private Loop(String name, long maxSilentChecks, Runnable restart) {
            this.name = name;
            this.maxSilentChecks = maxSilentChecks;
            this.restart = restart;
        }

        @Override
        public void beat() {
            silentChecks = 0;
        }
    }

    /**
     * Watches a loop.
     *
     * @param maxSilentMillis time without a heartbeat after which the loop counts as stopped
     * @param restart gives up the current run of the loop and begins the next one
     */
    public Heartbeat watch(String name, long maxSilentMillis, Runnable restart) {
        Loop loop = new Loop(name, Math.max(1, maxSilentMillis / CHECK_MILLIS), restart);
        loops.add(loop);
        return loop;
    }

    /** Starts checking periodically. */
    public void start() {
        timers.every("watchdog", CHECK_MILLIS, () -> loops.forEach(this::check));
    }

    private void check(Loop loop) {
        loop.silentChecks++;
        if (loop.silentChecks <= loop.maxSilentChecks) {
            return;
        }
        loop.silentChecks = 0;
        metrics.counter("loops_restarted_total").inc();
        LOG.event("loop_stopped")
                .with("loop", loop.name)
                .with("silent_ms", loop.maxSilentChecks * CHECK_MILLIS)
                .with("action", "restarted")
                .warning();
        loop.restart.run();
    }
}
