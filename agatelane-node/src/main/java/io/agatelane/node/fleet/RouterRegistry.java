package io.agatelane.node.fleet;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.node.api.ConditionalStore;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import io.agatelane.node.util.SocketAddresses;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

/**
 * Registers this router in the store and lists the others. Runs on the control thread.
 *
 * <p>The list serves only to exchange hints, so it need not be complete.
 */
final class RouterRegistry {
    private static final EventLog LOG = EventLog.of(RouterRegistry.class);
    private static final String PREFIX = "agatelane/router/";
    // Hints are sent to a failed router for up to this long, which costs only some packets.
    private static final long LEASE_MILLIS = 24_000;
    private static final long RENEW_MILLIS = 8_000;
    private static final long START_JITTER_MILLIS = 500;
    private static final long NO_LEASE = 0;
    private static final String SEPARATOR = ":";

    private final ConditionalStore store;
    private final StorePoller poller;
    private final TimerService timers;
    private final Executor control;
    private final RandomGenerator random;
    private final RouterEntry self;
    private List<KeyValue> parsedItems = List.of();
    private List<RouterEntry> parsed = List.of();
    private long leaseId = NO_LEASE;
    private boolean started;

    /** Creates a registry; {@link #start} registers this router. */
    RouterRegistry(
            ConditionalStore store,
            StorePoller poller,
            TimerService timers,
            Executor control,
            RandomGenerator random,
            RouterEntry self) {
        this.store = store;
        this.poller = poller;
        this.timers = timers;
        this.control = control;
        this.random = random;
        this.self = self;
    }

    /** Registers this router after the first read of the store. */
    public void start() {
        poller.subscribe(() -> {
            if (!started) {
                started = true;
                timers.after(random.nextLong(START_JITTER_MILLIS), this::register);
            }
        });
    }

    /** The other routers as last read. */
    List<RouterEntry> others() {
        List<KeyValue> items = poller.routerEntries();
        if (items != parsedItems) {
            parsedItems = items;
            parsed = items.stream()
                    .filter(item -> item.key().startsWith(PREFIX))
                    .map(RouterRegistry::parse)
                    .flatMap(Optional::stream)
                    .filter(entry -> !entry.address().equals(self.address()))
                    .toList();
        }
        return parsed;
    }

    private static Optional<RouterEntry> parse(KeyValue item) {
        String text = new String(item.value(), StandardCharsets.UTF_8);
        int end = text.lastIndexOf(SEPARATOR);
        Optional<RouterEntry> entry = SocketAddresses.parse(text.substring(0, Math.max(0, end)))
                .map(address -> new RouterEntry(
                        item.key().substring(PREFIX.length()), text.substring(end + SEPARATOR.length()), address));
        if (entry.isEmpty()) {
            LOG.event("router_entry_unreadable")
                    .with("key", item.key())
                    .with("action", "ignored")
                    .info();
        }
        return entry;
    }

    private void register() {
        String key = PREFIX + self.vm();
        long known = poller.routerEntries().stream()
                .filter(item -> item.key().equals(key))
                .mapToLong(KeyValue::revision)
                .findFirst()
                .orElse(0);
        InetSocketAddress address = self.address();
        byte[] value = (SocketAddresses.format(address) + SEPARATOR + self.zone()).getBytes(StandardCharsets.UTF_8);
        var registration = store.grantLease(LEASE_MILLIS)
                .thenCompose(
                        lease -> store.compareAndSet(key, known, value, lease).thenApply(revision -> lease));
        Futures.whenDone(registration, control, (lease, failure) -> {
            if (failure != null) {
                logFailure("router_not_entered", failure);
                timers.after(RENEW_MILLIS, this::register);
            } else {
                leaseId = lease;
                timers.after(RENEW_MILLIS, this::renew);
            }
        });
    }

    private void renew() {
        Futures.whenDone(store.renewLease(leaseId), control, (leftMillis, failure) -> {
            if (failure != null) {
                logFailure("router_entry_not_renewed", failure);
            }
            boolean ended = failure == null && leftMillis == 0;
            timers.after(RENEW_MILLIS, ended ? this::register : this::renew);
        });
    }

    private static void logFailure(String event, AgatelaneException failure) {
        LOG.event(event)
                .with("action", "retries")
                .with("reason", failure.getMessage())
                .info();
    }
}
