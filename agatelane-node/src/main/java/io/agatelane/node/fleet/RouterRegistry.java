package io.agatelane.node.fleet;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.node.api.ConditionalStore;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.StoreEra;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.control.Watchdog;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import io.agatelane.node.util.SocketAddresses;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Registers this router in the store and lists the others. Runs on the control thread.
 *
 * <p>The list serves to exchange hints, and its size to share rates and budgets. When the store goes back to an older
 * copy, the entries written since are missing until their routers write them again; the routers known before count until
 * then, because a router that counts too few takes too large a share.
 */
final class RouterRegistry {
    private static final EventLog LOG = EventLog.of(RouterRegistry.class);
    private static final String PREFIX = "agatelane/router/";
    // Hints are sent to a failed router for up to this long, which costs only some packets.
    private static final long LEASE_MILLIS = 24_000;
    private static final long RENEW_MILLIS = 8_000;
    private static final long START_JITTER_MILLIS = 500;
    // Spreads the writes of the routers whose entries a store has lost: two calls of each.
    private static final long REWRITE_JITTER_MILLIS = 2_000;
    // A router notices with its next renewal that its lease is gone, and a failed registration is repeated once.
    private static final long REMEMBERED_MILLIS = 2 * RENEW_MILLIS + 2 * REWRITE_JITTER_MILLIS;
    // Longer than the pause between two calls and the calls themselves, and shorter than the lease.
    private static final long MAX_SILENT_MILLIS = 14_000;
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
    private boolean registering;
    private Subscription nextCall = () -> {};
    private Watchdog.Heartbeat heartbeat = Watchdog.Heartbeat.NONE;
    private long registeredEra;
    private long listedEra;
    private List<RouterEntry> remembered = List.of();
    private long rememberedUntilMillis;

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
                registeredEra = poller.era();
                nextCall = timers.after(random.nextLong(START_JITTER_MILLIS), this::register);
            } else if (poller.era() > registeredEra) {
                registeredEra = poller.era();
                registerIfMissing();
            }
        });
    }

    /** Lets a watchdog register this router again if it stops renewing its entry. */
    void watch(Watchdog watchdog) {
        heartbeat = watchdog.watch("router-registry", MAX_SILENT_MILLIS, () -> {
            if (started) {
                nextCall.cancel();
                register();
            }
        });
    }

    // An entry that the older copy has lasts until the next renewal, which registers anew.
    private void registerIfMissing() {
        if (!registering && ownRevision() == 0) {
            nextCall.cancel();
            nextCall = timers.after(random.nextLong(REWRITE_JITTER_MILLIS), this::register);
        }
    }

    private long ownRevision() {
        String key = PREFIX + self.vm();
        return poller.routerEntries().stream()
                .filter(item -> item.key().equals(key))
                .mapToLong(KeyValue::revision)
                .findFirst()
                .orElse(0);
    }

    /** The other routers as last read. */
    List<RouterEntry> others() {
        List<KeyValue> items = poller.routerEntries();
        if (items != parsedItems) {
            parsedItems = items;
            List<RouterEntry> read = items.stream()
                    .filter(item -> item.key().startsWith(PREFIX))
                    .map(RouterRegistry::parse)
                    .flatMap(Optional::stream)
                    .filter(entry -> !entry.address().equals(self.address()))
                    .toList();
            if (poller.era() > listedEra) {
                listedEra = poller.era();
                remembered = parsed;
                rememberedUntilMillis = timers.monotonicMillis() + REMEMBERED_MILLIS;
            }
            parsed = withRemembered(read);
        }
        return parsed;
    }

    private List<RouterEntry> withRemembered(List<RouterEntry> read) {
        if (timers.monotonicMillis() >= rememberedUntilMillis) {
            return read;
        }
        Set<String> vms = read.stream().map(RouterEntry::vm).collect(Collectors.toSet());
        Set<InetSocketAddress> addresses =
                read.stream().map(RouterEntry::address).collect(Collectors.toSet());
        List<RouterEntry> all = new ArrayList<>(read);
        remembered.stream()
                .filter(entry -> !vms.contains(entry.vm()) && !addresses.contains(entry.address()))
                .forEach(all::add);
        return all;
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
        heartbeat.beat();
        String key = PREFIX + self.vm();
        long known = ownRevision();
        registering = true;
        InetSocketAddress address = self.address();
        byte[] value = (SocketAddresses.format(address) + SEPARATOR + self.zone()).getBytes(StandardCharsets.UTF_8);
        var registration = store.grantLease(LEASE_MILLIS)
                .thenCompose(
                        lease -> store.compareAndSet(key, known, value, lease).thenApply(revision -> lease));
        Futures.whenDone(registration, control, (lease, failure) -> {
            registering = false;
            if (failure != null) {
                logFailure("router_not_entered", failure);
                nextCall = timers.after(RENEW_MILLIS, this::register);
            } else {
                leaseId = lease;
                long delayMillis =
                        StoreEra.isValidIn(lease, store.era()) ? RENEW_MILLIS : random.nextLong(REWRITE_JITTER_MILLIS);
                nextCall = timers.after(delayMillis, this::renew);
            }
        });
    }

    private void renew() {
        heartbeat.beat();
        long renewedLeaseId = leaseId;
        Futures.whenDone(store.renewLease(renewedLeaseId), control, (leftMillis, failure) -> {
            if (failure != null) {
                logFailure("router_entry_not_renewed", failure);
            }
            boolean ended = (failure == null && leftMillis == 0) || !StoreEra.isValidIn(renewedLeaseId, store.era());
            if (renewedLeaseId == leaseId && !registering) {
                nextCall.cancel();
                nextCall = ended
                        ? timers.after(random.nextLong(REWRITE_JITTER_MILLIS), this::register)
                        : timers.after(RENEW_MILLIS, this::renew);
            }
        });
    }

    private static void logFailure(String event, AgatelaneException failure) {
        LOG.event(event)
                .with("action", "retries")
                .with("reason", failure.getMessage())
                .info();
    }
}
