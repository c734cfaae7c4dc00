package io.agatelane.node.fleet;

import io.agatelane.node.api.ConditionalStore;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import java.util.Optional;
import java.util.concurrent.Executor;

/** Records in the store when weights were requested, as far as this router knows. Runs on the control thread. */
final class WeightsRequestTimesWriter {
    private static final EventLog LOG = EventLog.of(WeightsRequestTimesWriter.class);
    // Longer than the time after which a router without a relay reads its own write back, so that it is not repeated.
    // With a relay it can take longer; the store then refuses the repeated write.
    private static final long MIN_WRITE_GAP_MILLIS = 1_500;

    private final ConditionalStore store;
    private final TimerService timers;
    private final Executor control;
    private long nextWriteMillis = Long.MIN_VALUE;

    WeightsRequestTimesWriter(ConditionalStore store, TimerService timers, Executor control) {
        this.store = store;
        this.timers = timers;
        this.control = control;
    }

    /**
     * Writes the times unless the store holds them.
     *
     * @param entry the entry as last read
     * @param stored its content
     */
    void write(Optional<KeyValue> entry, WeightsRequestTimes stored, WeightsRequestTimes times) {
        long now = timers.monotonicMillis();
        if (stored.equals(times) || now < nextWriteMillis) {
            return;
        }
        nextWriteMillis = now + MIN_WRITE_GAP_MILLIS;
        long expectedRevision = entry.map(KeyValue::revision).orElse(0L);
        Futures.whenDone(
                store.compareAndSet(WeightsRequestTimes.KEY, expectedRevision, times.encode()),
                control,
                (revision, failure) -> {
                    if (failure != null) {
                        LOG.event("weights_times_not_written")
                                .with("reason", failure.getMessage())
                                .with("action", "retried")
                                .info();
                    }
                });
    }
}
