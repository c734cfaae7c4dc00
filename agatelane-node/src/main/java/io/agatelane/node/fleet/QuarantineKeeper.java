package io.agatelane.node.fleet;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.fleet.ClockReading;
import io.agatelane.node.api.ConditionalStore;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.util.EventLog;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

/**
 * Keeps refused requests and parts of prompts in the store, so that a restart of all routers does not forget them. Any
 * router that knows of one which the store lacks writes it, and removes what it knows to be cleared or too old.
 */
final class QuarantineKeeper extends SharedEntry<QuarantineRecord> {
    private static final EventLog LOG = EventLog.of(QuarantineKeeper.class);

    private final FleetState state;
    private final MetricRegistry metrics;

    QuarantineKeeper(
            ConditionalStore store,
            StorePoller poller,
            FleetState state,
            TimerService timers,
            Executor control,
            RandomGenerator random,
            MetricRegistry metrics) {
        super(QuarantineRecord.KEY, store, poller, timers, control, random, state::routerCount);
        this.state = state;
        this.metrics = metrics;
    }

    @Override
    QuarantineRecord none() {
        return QuarantineRecord.NONE;
    }

    @Override
    QuarantineRecord decode(byte[] value) {
        return QuarantineRecord.decode(value);
    }

    @Override
    byte[] encode(QuarantineRecord record) {
        return record.encode();
    }

    @Override
    void onRead(QuarantineRecord record, ClockReading now) {
        state.restoreQuarantine(record, now);
        log("quarantine_read", record);
    }

    @Override
    QuarantineRecord wanted(QuarantineRecord known, ClockReading now) {
        return state.withoutCleared(known, now).union(state.quarantine(now));
    }

    @Override
    boolean isSame(QuarantineRecord first, QuarantineRecord second) {
        return first.hasSameEvents(second);
    }

    @Override
    void onWritten(QuarantineRecord record) {
        metrics.counter("quarantine_writes_total").inc();
        log("quarantine_written", record);
    }

    private static void log(String event, QuarantineRecord record) {
        LOG.event(event)
                .with("crashes", record.crashes().size())
                .with("ends", record.ends().size())
                .info();
    }
}
