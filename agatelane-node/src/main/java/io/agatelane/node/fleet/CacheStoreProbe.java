package io.agatelane.node.fleet;

import io.agatelane.core.fleet.CacheStore;
import io.agatelane.node.api.EngineControl;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import java.util.Optional;
import java.util.concurrent.Executor;

/** Asks the store of kept KV cache whether it is there and since when. Runs on the control thread. */
public final class CacheStoreProbe {
    private static final EventLog LOG = EventLog.of(CacheStoreProbe.class);
    // A copy from a dead store costs some hundred milliseconds, so it should not be tried for long.
    private static final long PERIOD_MILLIS = 1_000;
    // The store takes about a dozen of these questions at a time; a large fleet asks in turns.
    private static final int ROUTERS_PER_PERIOD = 8;

    private final FleetState state;
    private final RouterRegistry registry;
    private final EngineControl engines;
    private final TimerService timers;
    private final Executor control;
    private Optional<CacheStore> usable = Optional.empty();

    /** Creates a probe that has asked nothing. */
    public CacheStoreProbe(
            FleetState state, RouterRegistry registry, EngineControl engines, TimerService timers, Executor control) {
        this.state = state;
        this.registry = registry;
        this.engines = engines;
        this.timers = timers;
        this.control = control;
    }

    /** Begins to ask. */
    public void start() {
        timers.after(PERIOD_MILLIS, this::ask);
    }

    private void ask() {
        Optional<CacheStore> store = state.knowledge().config().flatMap(config -> config.cacheStore());
        if (store.isEmpty()) {
            next();
            return;
        }
        Futures.whenDone(engines.cacheStoreIncarnation(store.get().address()), control, (incarnation, failure) -> {
            Optional<CacheStore> answer =
                    failure == null ? Optional.of(store.get().withIncarnation(incarnation)) : Optional.empty();
            if (!answer.equals(usable)) {
                LOG.event(answer.isPresent() ? "dependency_regained" : "dependency_lost")
                        .with("dependency", "cache_store")
                        .with("address", store.get().address())
                        .with("incarnation", answer.map(CacheStore::incarnation).orElse(0L))
                        .with("reason", failure == null ? "answered" : failure.getMessage())
                        .info();
            }
            usable = answer;
            state.cacheStore(answer);
            next();
        });
    }

    private void next() {
        long turns = 1 + registry.others().size() / ROUTERS_PER_PERIOD;
        timers.after(PERIOD_MILLIS * turns, this::ask);
    }
}
