package io.agatelane.node.fleet;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.fleet.ClockReading;
import io.agatelane.node.api.ConditionalStore;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.StoreEra;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.control.Watchdog;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

/**
 * Keeps refused requests and parts of prompts in the store, so that a restart of all routers does not forget them. Runs on
 * the control thread.
 *
 * <p>Any router that knows of one which the store lacks writes it, and removes what it knows to be cleared or too old. The
 * routers wait for random times before they do, so that usually one of them writes; the others find its write when they
 * read the entry before their own. A store that goes back to an older copy loses entries, which are written again in the
 * same way.
 */
final class QuarantineKeeper {
    private static final EventLog LOG = EventLog.of(QuarantineKeeper.class);
    private static final long CHECK_MILLIS = 200;
    // A request that crashes upstreams may be run by restarted routers until it is stored.
    private static final long MAX_DELAY_MILLIS = 3_000;
    private static final long DELAY_PER_ROUTER_MILLIS = 50;
    // Limits the writes while many requests are suspected at once.
    private static final long MIN_WRITE_GAP_MILLIS = 1_000;
    private static final int RETRY_JITTER_MILLIS = 1_000;
    // Longer than two calls to the store, after which no response can come any more.
    private static final long MAX_SILENT_MILLIS = 10_000;

    private final ConditionalStore store;
    private final StorePoller poller;
    private final FleetState state;
    private final TimerService timers;
    private final Executor control;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private Watchdog.Heartbeat heartbeat = Watchdog.Heartbeat.NONE;
    private long knownRevision;
    private QuarantineRecord stored = QuarantineRecord.NONE;
    private OptionalLong dueMillis = OptionalLong.empty();
    private long nextWriteMillis = Long.MIN_VALUE;
    private boolean hasRead;
    private boolean writing;

    QuarantineKeeper(
            ConditionalStore store,
            StorePoller poller,
            FleetState state,
            TimerService timers,
            Executor control,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.store = store;
        this.poller = poller;
        this.state = state;
        this.timers = timers;
        this.control = control;
        this.random = random;
        this.metrics = metrics;
    }

    /** Lets a watchdog end a write that never returned. */
    void watch(Watchdog watchdog) {
        heartbeat = watchdog.watch("quarantine", MAX_SILENT_MILLIS, () -> writing = false);
    }

    /** Begins to follow the entry with the reads of the store. Must be called before the first of them. */
    void start() {
        poller.subscribeToRouterEntries(this::read);
        timers.every("quarantine", CHECK_MILLIS, this::writeIfDue);
    }

    private void read(List<KeyValue> routerEntries) {
        hasRead = true;
        Optional<KeyValue> entry = routerEntries.stream()
                .filter(item -> item.key().equals(QuarantineRecord.KEY))
                .findFirst();
        if (entry.isPresent()) {
            apply(entry.get());
        } else if (poller.era() > StoreEra.of(knownRevision)) {
            // The older copy lacks the entry.
            knownRevision = 0;
            stored = QuarantineRecord.NONE;
        }
    }

    // Possibly stale reads can return an older entry.
    private void apply(KeyValue entry) {
        if (entry.revision() <= knownRevision) {
            return;
        }
        boolean isFirst = knownRevision == 0;
        knownRevision = entry.revision();
        stored = decode(entry);
        state.restoreQuarantine(stored, timers.now());
        if (isFirst) {
            LOG.event("quarantine_restored")
                    .with("crashes", stored.crashes().size())
                    .with("ends", stored.ends().size())
                    .info();
        }
    }

    private static QuarantineRecord decode(KeyValue entry) {
        try {
            return QuarantineRecord.decode(entry.value());
        } catch (AgatelaneException e) {
            LOG.event("router_record_unreadable")
                    .with("key", entry.key())
                    .with("reason", e.getMessage())
                    .with("action", "ignored")
                    .warning();
            return QuarantineRecord.NONE;
        }
    }

    private QuarantineRecord wanted(ClockReading now) {
        return state.withoutCleared(stored, now).union(state.quarantine(now));
    }

    private void writeIfDue() {
        if (writing) {
            return;
        }
        heartbeat.beat();
        ClockReading now = timers.now();
        if (!hasRead || wanted(now).hasSameEvents(stored)) {
            dueMillis = OptionalLong.empty();
            return;
        }
        if (dueMillis.isEmpty()) {
            long maxMillis = Math.min(MAX_DELAY_MILLIS, DELAY_PER_ROUTER_MILLIS * state.routerCount());
            dueMillis = OptionalLong.of(now.monotonicMillis() + random.nextLong(maxMillis));
        }
        if (now.monotonicMillis() >= Math.max(dueMillis.getAsLong(), nextWriteMillis)) {
            writing = true;
            nextWriteMillis = now.monotonicMillis() + MIN_WRITE_GAP_MILLIS + random.nextInt(RETRY_JITTER_MILLIS);
            readAndWrite();
        }
    }

    private void readAndWrite() {
        Futures.whenDone(store.get(QuarantineRecord.KEY), control, (entry, failure) -> {
            if (failure != null) {
                recordNotWritten(failure);
                return;
            }
            entry.ifPresent(this::apply);
            QuarantineRecord wanted = wanted(timers.now());
            if (wanted.hasSameEvents(stored)) {
                writing = false;
                return;
            }
            write(wanted, entry.map(KeyValue::revision).orElse(0L));
        });
    }

    private void write(QuarantineRecord record, long expectedRevision) {
        Futures.whenDone(
                store.compareAndSet(QuarantineRecord.KEY, expectedRevision, record.encode()),
                control,
                (revision, failure) -> {
                    if (failure != null) {
                        recordNotWritten(failure);
                        return;
                    }
                    writing = false;
                    knownRevision = revision;
                    stored = record;
                    metrics.counter("quarantine_writes_total").inc();
                    LOG.event("quarantine_stored")
                            .with("crashes", record.crashes().size())
                            .with("ends", record.ends().size())
                            .with("revision", StoreEra.number(revision))
                            .info();
                });
    }

    private void recordNotWritten(AgatelaneException failure) {
        writing = false;
        LOG.event("quarantine_not_stored")
                .with("reason", failure.getMessage())
                .with("action", "retried")
                .info();
    }
}
