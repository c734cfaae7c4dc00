package io.agatelane.node.forward;

import io.agatelane.core.fleet.command.AdmissionQueue;
import io.agatelane.node.api.TimerService;
import java.util.Optional;
import java.util.concurrent.Executor;

/** Calls of one service that wait until an engine has room, and the periodic attempts to admit them. */
final class WaitingCalls {
    // Loads of engines change with each response; the digests of the other routers come a few times a second.
    private static final long CHECK_MILLIS = 25;

    private final AdmissionQueue<ForwardCall> queue = new AdmissionQueue<>();
    private final PeriodicCheck check;

    WaitingCalls(TimerService timers, Executor executor) {
        this.check = new PeriodicCheck(timers, executor, this::admit);
    }

    /** Adds a call, whose {@link ForwardCall#tryAdmit} is then called until it succeeds. */
    void add(ForwardCall call, int priority) {
        queue.add(call, priority);
        check.schedule(CHECK_MILLIS);
    }

    void remove(ForwardCall call) {
        queue.remove(call);
    }

    void recordAdmission(long nowMillis) {
        queue.recordAdmission(nowMillis);
    }

    /** Whether a call of the same or a more urgent priority waits. */
    boolean hasAhead(int priority) {
        return queue.countAhead(priority) > 0;
    }

    /** Number of calls that wait. */
    int size() {
        return queue.countAhead(Integer.MAX_VALUE);
    }

    long expectedWaitMillis(int priority) {
        return queue.expectedWaitMillis(priority);
    }

    private void admit() {
        Optional<ForwardCall> first = queue.first();
        while (first.isPresent() && first.get().tryAdmit()) {
            first = queue.first();
        }
        if (first.isPresent()) {
            check.schedule(CHECK_MILLIS);
        }
    }
}
