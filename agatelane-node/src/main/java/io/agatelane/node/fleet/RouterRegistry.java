package io.agatelane.node.fleet;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.node.api.ConditionalStore;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

/**
 * Enters this router into the store and lists the others. Runs on the control thread.
 *
 * <p>The list only serves to exchange hints; nothing depends on its being complete.
 */
final class RouterRegistry {
    private static final EventLog LOG = EventLog.of(RouterRegistry.class);
    private static final String PREFIX = "agatelane/router/";
    // A router that is gone is told hints for this long, which costs some packets.
    private static final long LEASE_MILLIS = 24_000;
    private static final long RENEW_MILLIS = 8_000;
    private static final long SPREAD_MILLIS = 500;
    private static final long NO_LEASE = 0;
    private static final String SEPARATOR = ":";

    private final ConditionalStore store;
    private final FleetFollower follower;
    private final TimerService timers;
    private final Executor control;
    private final RandomGenerator random;
    private final RouterEntry self;
    private List<KeyValue> parsedItems = List.of();
    private List<RouterEntry> parsed = List.of();
    private long leaseId = NO_LEASE;
    private boolean started;

    /** Creates a registry that has entered nothing. */
    RouterRegistry(
            ConditionalStore store,
            FleetFollower follower,
            TimerService timers,
            Executor control,
            RandomGenerator random,
            RouterEntry self) {
        this.store = store;
        this.follower = follower;
        this.timers = timers;
        this.control = control;
        this.random = random;
        this.self = self;
    }

    /** Enters this router once the store was read. */
    public void start() {
        follower.subscribe(() -> {
            if (!started) {
                started = true;
                timers.after(random.nextLong(SPREAD_MILLIS), this::enter);
            }
        });
    }

    /** The other routers as last read. */
    List<RouterEntry> others() {
        List<KeyValue> items = follower.routerItems();
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
        String[] parts = new String(item.value(), StandardCharsets.UTF_8).split(SEPARATOR, -1);
        try {
            InetSocketAddress address = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
            return Optional.of(new RouterEntry(item.key().substring(PREFIX.length()), parts[2], address));
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            LOG.event("router_entry_unreadable")
                    .with("key", item.key())
                    .with("action", "ignored")
                    .info();
            return Optional.empty();
        }
    }

    private void enter() {
        String key = PREFIX + self.vm();
        long known = follower.routerItems().stream()
                .filter(item -> item.key().equals(key))
                .mapToLong(KeyValue::revision)
                .findFirst()
                .orElse(0);
        InetSocketAddress address = self.address();
        byte[] value = String.join(
                        SEPARATOR,
                        address.getAddress().getHostAddress(),
                        Integer.toString(address.getPort()),
                        self.zone())
                .getBytes(StandardCharsets.UTF_8);
        var entered = store.grantLease(LEASE_MILLIS).thenCompose(lease -> store.compareAndSet(key, known, value, lease)
                .thenApply(revision -> lease));
        Futures.whenDone(entered, control, (lease, failure) -> {
            if (failure != null) {
                logFailure("router_not_entered", failure);
                timers.after(RENEW_MILLIS, this::enter);
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
            timers.after(RENEW_MILLIS, ended ? this::enter : this::renew);
        });
    }

    private static void logFailure(String event, AgatelaneException failure) {
        LOG.event(event)
                .with("action", "retries")
                .with("reason", failure.getMessage())
                .info();
    }
}
