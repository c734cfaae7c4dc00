package io.agatelane.node.api;

import io.agatelane.core.fleet.ClockReading;

/** Time and timers. Callbacks run on the control thread. */
public interface TimerService {
    /** Monotonic time in milliseconds; comparable only within this process. */
    long monotonicMillis();

    /** Wall-clock time in milliseconds since 1970; only for stored time stamps. */
    long epochMillis();

    /** Readings of both clocks at this moment. */
    default ClockReading now() {
        return new ClockReading(monotonicMillis(), epochMillis());
    }

    /** Runs the task periodically. */
    Subscription every(String name, long periodMillis, Runnable task);

    /** Runs the task once. */
    Subscription after(long delayMillis, Runnable task);
}
