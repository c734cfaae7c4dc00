package io.agatelane.node.fleet;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.node.api.ConditionalStore;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

/**
 * Enters this router into the store and lists the others. Runs on the control thread.
 *
 * <p>The list only serves to exchange hints; nothing depends on its being complete.
 */
public final class RouterRegistry {
    private static final EventLog LOG = EventLog.of(RouterRegistry.class);
    private static final String PREFIX = "agatelane/router/";
    // A router that is gone is told hints for this long, which costs some packets.
    private static final long LEASE_MILLIS = 12_000;
    private static final long RENEW_MILLIS = 4_000;
    private static final long SPREAD_MILLIS = 500;
    private static final long NO_LEASE = 0;

    private final ConditionalStore store;
    private final FleetFollower follower;
    private final TimerService timers;
    private final Executor control;
    private final RandomGenerator random;
    private final String vmName;
    private final InetSocketAddress address;
    private long leaseId = NO_LEASE;
    private boolean started;

    /** Creates a registry that has entered nothing. */
    public RouterRegistry(
            ConditionalStore store,
            FleetFollower follower,
            TimerService timers,
            Executor control,
            RandomGenerator random,
            String vmName,
            InetSocketAddress address) {
        this.store = store;
        this.follower = follower;
        this.timers = timers;
        this.control = control;
        this.random = random;
        this.vmName = vmName;
        this.address = address;
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

    /** Addresses of the other routers as last read. */
    public List<InetSocketAddress> others() {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (KeyValue item : follower.routerItems()) {
            if (item.key().startsWith(PREFIX)) {
                String[] parts = new String(item.value(), StandardCharsets.UTF_8).split(":", -1);
                parse(item.key(), parts, addresses);
            }
        }
        addresses.remove(address);
        return addresses;
    }

    private static void parse(String key, String[] parts, List<InetSocketAddress> addresses) {
        try {
            addresses.add(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            LOG.event("router_entry_unreadable")
                    .with("key", key)
                    .with("action", "ignored")
                    .info();
        }
    }

    private void enter() {
        String key = PREFIX + vmName;
        long known = follower.routerItems().stream()
                .filter(item -> item.key().equals(key))
                .mapToLong(KeyValue::revision)
                .findFirst()
                .orElse(0);
        byte[] value =
                (address.getAddress().getHostAddress() + ':' + address.getPort()).getBytes(StandardCharsets.UTF_8);
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
