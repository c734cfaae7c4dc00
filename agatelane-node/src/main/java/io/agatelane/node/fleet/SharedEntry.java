package io.agatelane.node.fleet;

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
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * An entry of the store without a lease, which any router writes that wants another content. Runs on the control thread.
 *
 * <p>The routers wait for random times before they write, so that usually one of them does; the others find its write when
 * they read the entry before their own. What a store that goes back to an older copy has lost is written again in the same
 * way. An entry that cannot be read counts as one without content.
 *
 * @param <T> immutable content
 */
abstract class SharedEntry<T> {
    private static final EventLog LOG = EventLog.of(SharedEntry.class);
    private static final long CHECK_MILLIS = 200;
    private static final long MAX_DELAY_MILLIS = 3_000;
    private static final long DELAY_PER_ROUTER_MILLIS = 50;
    private static final long MIN_WRITE_GAP_MILLIS = 1_000;
    private static final int RETRY_JITTER_MILLIS = 1_000;
    // Longer than two calls to the store, after which no response can come any more.
    private static final long MAX_SILENT_MILLIS = 10_000;

    private final String key;
    private final ConditionalStore store;
    private final StorePoller poller;
    private final TimerService timers;
    private final Executor control;
    private final RandomGenerator random;
    private final IntSupplier routerCount;
    private Watchdog.Heartbeat heartbeat = Watchdog.Heartbeat.NONE;
    private long knownRevision;
    private T stored;
    private OptionalLong dueMillis = OptionalLong.empty();
    private long nextWriteMillis = Long.MIN_VALUE;
    private boolean hasRead;
    private boolean writing;

    /**
     * Creates an entry that was not read yet.
     *
     * @param routerCount number of registered routers
     */
    SharedEntry(
            String key,
            ConditionalStore store,
            StorePoller poller,
            TimerService timers,
            Executor control,
            RandomGenerator random,
            IntSupplier routerCount) {
        this.key = key;
        this.store = store;
        this.poller = poller;
        this.timers = timers;
        this.control = control;
        this.random = random;
        this.routerCount = routerCount;
    }

    /** The content of an entry that does not exist. */
    abstract T none();

    /**
     * Decodes the content.
     *
     * @throws AgatelaneException with {@code INVALID_OBJECT}
     */
    abstract T decode(byte[] value);

    abstract byte[] encode(T content);

    /** Called with each content that is read, before the first request is served. */
    abstract void onRead(T content, ClockReading now);

    /** Returns what this router wants the store to hold, from what it holds as far as known. */
    abstract T wanted(T known, ClockReading now);

    /** Whether two contents are the same, so that none needs to be written in place of the other. */
    abstract boolean isSame(T first, T second);

    /** Called with each content that this router has written. */
    abstract void onWritten(T content);

    /** Lets a watchdog end a write that never returned. */
    void watch(Watchdog watchdog) {
        heartbeat = watchdog.watch(key, MAX_SILENT_MILLIS, () -> writing = false);
    }

    /** Begins to follow the entry with the reads of the store. Must be called before the first of them. */
    void start() {
        stored = none();
        poller.subscribeToRouterEntries(this::read);
        timers.every(key, CHECK_MILLIS, this::writeIfDue);
    }

    private void read(List<KeyValue> routerEntries) {
        hasRead = true;
        Optional<KeyValue> entry =
                routerEntries.stream().filter(item -> item.key().equals(key)).findFirst();
        if (entry.isPresent()) {
            apply(entry.get());
        } else if (poller.era() > StoreEra.of(knownRevision)) {
            // The older copy lacks the entry.
            knownRevision = 0;
            stored = none();
        }
    }

    // Possibly stale reads can return an older entry.
    private void apply(KeyValue entry) {
        if (entry.revision() > knownRevision) {
            knownRevision = entry.revision();
            stored = decodeOrNone(entry);
            onRead(stored, timers.now());
        }
    }

    private T decodeOrNone(KeyValue entry) {
        try {
            return decode(entry.value());
        } catch (AgatelaneException e) {
            LOG.event("router_record_unreadable")
                    .with("key", key)
                    .with("reason", e.getMessage())
                    .with("action", "ignored")
                    .warning();
            return none();
        }
    }

    private void writeIfDue() {
        if (writing) {
            return;
        }
        heartbeat.beat();
        ClockReading now = timers.now();
        if (!hasRead || isSame(wanted(stored, now), stored)) {
            dueMillis = OptionalLong.empty();
            return;
        }
        if (dueMillis.isEmpty()) {
            long maxMillis = Math.min(MAX_DELAY_MILLIS, DELAY_PER_ROUTER_MILLIS * routerCount.getAsInt());
            dueMillis = OptionalLong.of(now.monotonicMillis() + random.nextLong(maxMillis));
        }
        if (now.monotonicMillis() >= Math.max(dueMillis.getAsLong(), nextWriteMillis)) {
            writing = true;
            nextWriteMillis = now.monotonicMillis() + MIN_WRITE_GAP_MILLIS + random.nextInt(RETRY_JITTER_MILLIS);
            readAndWrite();
        }
    }

    private void readAndWrite() {
        Futures.whenDone(store.get(key), control, (entry, failure) -> {
            if (failure != null) {
                recordNotWritten(failure);
                return;
            }
            entry.ifPresent(this::apply);
            T wanted = wanted(stored, timers.now());
            if (isSame(wanted, stored)) {
                writing = false;
                return;
            }
            write(wanted, entry.map(KeyValue::revision).orElse(0L));
        });
    }

    private void write(T content, long expectedRevision) {
        Futures.whenDone(store.compareAndSet(key, expectedRevision, encode(content)), control, (revision, failure) -> {
            if (failure != null) {
                recordNotWritten(failure);
                return;
            }
            writing = false;
            knownRevision = revision;
            stored = content;
            onWritten(content);
        });
    }

    private void recordNotWritten(AgatelaneException failure) {
        writing = false;
        LOG.event("shared_entry_not_written")
                .with("key", key)
                .with("reason", failure.getMessage())
                .with("action", "retried")
                .info();
    }
}
