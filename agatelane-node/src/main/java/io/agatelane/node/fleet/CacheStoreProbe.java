package io.agatelane.node.fleet;

import io.agatelane.core.fleet.CacheStore;
import io.agatelane.node.api.EngineControl;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.control.Watchdog;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import java.util.Optional;
import java.util.concurrent.Executor;

/** Polls the KV cache store for its availability and incarnation. Runs on the control thread. */
public final class CacheStoreProbe {
    private static final EventLog LOG = EventLog.of(CacheStoreProbe.class);
    // Each attempt to copy from a failed store costs some hundred milliseconds, so a failure must be detected soon.
    private static final long PERIOD_MILLIS = 1_000;
    // The store serves about a dozen of these queries at a time, so the period grows with the number of routers.
    private static final int ROUTERS_PER_PERIOD = 8;
    // Longer than the pause between two probes in the largest fleets.
    private static final long MAX_SILENT_MILLIS = 60_000;

    private final FleetState state;
    private final RouterRegistry registry;
    private final EngineControl engines;
    private final TimerService timers;
    private final Executor control;
    private Optional<CacheStore> lastProbed = Optional.empty();
    private Watchdog.Heartbeat heartbeat = Watchdog.Heartbeat.NONE;
    private Subscription nextProbe = () -> {};

    /** Creates a probe; {@link #start} begins to poll. */
    public CacheStoreProbe(
            FleetState state, RouterRegistry registry, EngineControl engines, TimerService timers, Executor control) {
        this.state = state;
        this.registry = registry;
        this.engines = engines;
        this.timers = timers;
        this.control = control;
    }

    /** Lets a watchdog start the polling again if it stops. */
    void watch(Watchdog watchdog) {
        heartbeat = watchdog.watch("cache-store-probe", MAX_SILENT_MILLIS, () -> {
            nextProbe.cancel();
            probe();
        });
    }

    /** Starts polling. */
    public void start() {
        nextProbe = timers.after(PERIOD_MILLIS, this::probe);
    }

    private void probe() {
        heartbeat.beat();
        Optional<CacheStore> store = state.snapshot().config().flatMap(config -> config.cacheStore());
        if (store.isEmpty()) {
            scheduleNext();
            return;
        }
        Futures.whenDone(engines.cacheStoreIncarnation(store.get().address()), control, (incarnation, failure) -> {
            Optional<CacheStore> probed =
                    failure == null ? Optional.of(store.get().withIncarnation(incarnation)) : Optional.empty();
            if (!probed.equals(lastProbed)) {
                LOG.event(probed.isPresent() ? "dependency_regained" : "dependency_lost")
                        .with("dependency", "cache_store")
                        .with("address", store.get().address())
                        .with("incarnation", probed.map(CacheStore::incarnation).orElse(0L))
                        .with("reason", failure == null ? "answered" : failure.getMessage())
                        .info();
            }
            lastProbed = probed;
            state.setCacheStore(probed);
            scheduleNext();
        });
    }

    private void scheduleNext() {
        long periods = 1 + registry.others().size() / ROUTERS_PER_PERIOD;
        nextProbe = timers.after(PERIOD_MILLIS * periods, this::probe);
    }
}
