package io.agatelane.node.fleet;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.FleetView;
import io.agatelane.core.fleet.query.RolloutSelector;
import io.agatelane.node.api.EngineControl;
import io.agatelane.node.api.EngineStatus;
import io.agatelane.node.api.OrderResponse;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.api.WeightsOrder;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Orders the engines to load the newest weights. Runs on the control thread.
 *
 * <p>An engine is first published as reserved; when all routers have had time to read that, it gets the order. So no
 * request reaches an engine that is loading.
 */
public final class WeightsRollout {
    private static final EventLog LOG = EventLog.of(WeightsRollout.class);
    private static final long TICK_MILLIS = 150;
    // Pause between status requests to an engine; a status is some hundred milliseconds old anyway.
    private static final long STATUS_INTERVAL_MILLIS = 300;
    // An order without effect is abandoned after this time; a load takes about two seconds.
    private static final long TASK_TIMEOUT_MILLIS = 12_000;
    // Loads slow each other down when more than this share of the engines loads at once. Two may always load.
    private static final double CONCURRENT_SHARE = 0.25;
    private static final int MIN_CONCURRENT = 2;
    // Engines reserved ahead while the duration of a load is unknown, so that one can start as soon as another is done.
    private static final int INITIAL_RESERVED_AHEAD = 1;
    // Weight of the newest load in the estimated duration of a load.
    private static final double NEWEST_LOAD_WEIGHT = 0.3;
    // An engine that does not respond gives its place to another one and gets the next chance after this time.
    private static final long SILENT_PAUSE_MILLIS = 2_000;
    private static final long ACQUIRE_JITTER_MILLIS = 800;

    private final FleetState state;
    private final StorePoller poller;
    private final RolloutLeadership leadership;
    private final WeightsRequestTimesWriter requestTimes;
    private final EngineControl engineControl;
    private final TimerService timers;
    private final Executor control;
    private final RandomGenerator random;
    private final String vmName;
    private final LongSupplier announceMillis;
    private final MetricRegistry metrics;
    private final Map<String, LoadTask> tasks = new LinkedHashMap<>();
    private final Map<String, Map<String, Long>> loaded = new HashMap<>();
    private final Map<String, Long> silentUntilMillis = new HashMap<>();
    private double loadMillis = Double.NaN;
    private long acquireAtMillis = Long.MAX_VALUE;
    private boolean stopped;

    private static final class LoadTask {
        private final FleetUpstream upstream;
        private final long startedMillis;
        private long publishedMillis = -1;
        private long nextRequestAtMillis;
        private boolean requestInFlight;
        private boolean mayLoad;
        private boolean ordered;
        private long orderedMillis;

        private LoadTask(FleetUpstream upstream, long startedMillis) {
            this.upstream = upstream;
            this.startedMillis = startedMillis;
        }
    }

    /**
     * Creates a controller.
     *
     * @param announceMillis time within which every router has read a published record
     */
    public WeightsRollout(
            FleetState state,
            StorePoller poller,
            RolloutLeadership leadership,
            WeightsRequestTimesWriter requestTimes,
            EngineControl engineControl,
            TimerService timers,
            Executor control,
            RandomGenerator random,
            String vmName,
            LongSupplier announceMillis,
            MetricRegistry metrics) {
        this.state = state;
        this.poller = poller;
        this.leadership = leadership;
        this.requestTimes = requestTimes;
        this.engineControl = engineControl;
        this.timers = timers;
        this.control = control;
        this.random = random;
        this.vmName = vmName;
        this.announceMillis = announceMillis;
        this.metrics = metrics;
    }

    /** Starts checking periodically for engines with outdated weights. */
    public void start() {
        timers.every("weights-rollout", TICK_MILLIS, this::tick);
    }

    /** Stops giving orders and hands the leadership over. */
    public CompletableFuture<Void> stop() {
        return Futures.callOn(control, () -> {
            stopped = true;
            tasks.clear();
            return leadership.handOver();
        });
    }

    private void tick() {
        if (stopped) {
            return;
        }
        if (!leadership.isHeld()) {
            tasks.clear();
            state.setRolloutHints(RolloutHints.NONE);
            seekLeadership();
            return;
        }
        FleetView view = state.snapshot().view();
        finishTasks(view);
        planTasks(view);
        state.setRolloutHints(hints());
        leadership.publish(record());
        requestTimes.write(
                poller.requestTimesEntry(),
                poller.requestTimes(),
                state.snapshot().requestTimes());
        leadership.published().ifPresent(this::markPublished);
        int concurrent = concurrentLoads(view);
        for (LoadTask task : List.copyOf(tasks.values())) {
            long loading =
                    tasks.values().stream().filter(other -> other.mayLoad).count();
            if (task.mayLoad || loading < concurrent) {
                advance(task);
            }
        }
    }

    // Routers that see no holder wait for random times, so that usually only one of them asks the store.
    private void seekLeadership() {
        poller.rollout().ifPresent(leadership::removeLeftover);
        // With an outdated read, many routers would ask for a leadership that was acquired long ago.
        boolean free = poller.rollout().isEmpty()
                && poller.hasReadRecently()
                && !state.snapshot().view().newestWeightsVersions().isEmpty();
        long now = timers.monotonicMillis();
        if (!free) {
            acquireAtMillis = Long.MAX_VALUE;
        } else if (acquireAtMillis == Long.MAX_VALUE) {
            acquireAtMillis = now + random.nextLong(ACQUIRE_JITTER_MILLIS);
        } else if (now >= acquireAtMillis) {
            acquireAtMillis = now + announceMillis.getAsLong();
            leadership.tryAcquire();
        }
    }

    private RolloutHints hints() {
        Set<Long> reserved = new HashSet<>();
        tasks.values().forEach(task -> reserved.add(FleetState.keyHash(task.upstream)));
        Map<ModelOnUpstream, Long> versions = new HashMap<>();
        loaded.forEach((key, models) ->
                models.forEach((model, version) -> versions.put(ModelOnUpstream.of(key, model), version)));
        return new RolloutHints(reserved, versions);
    }

    private RolloutRecord record() {
        Set<String> reserved = new HashSet<>();
        tasks.values().forEach(task -> reserved.add(task.upstream.id()));
        return new RolloutRecord(vmName, reserved, loaded);
    }

    private void markPublished(RolloutRecord published) {
        for (LoadTask task : tasks.values()) {
            if (task.publishedMillis < 0 && published.reserved().contains(task.upstream.id())) {
                task.publishedMillis = timers.monotonicMillis();
            }
        }
    }

    private void finishTasks(FleetView view) {
        Set<String> present = new HashSet<>();
        view.upstreams().stream()
                .filter(upstream -> !upstream.draining())
                .forEach(upstream -> present.add(upstream.key()));
        loaded.keySet().retainAll(present);
        tasks.values().removeIf(task -> !present.contains(task.upstream.key()));
        tasks.values().removeIf(task -> timers.monotonicMillis() - task.startedMillis > TASK_TIMEOUT_MILLIS);
    }

    private void planTasks(FleetView view) {
        List<FleetUpstream> known =
                view.upstreams().stream().map(this::withLoadedWeights).toList();
        Set<String> reserved = new HashSet<>();
        tasks.values().forEach(task -> reserved.add(task.upstream.id()));
        long now = timers.monotonicMillis();
        silentUntilMillis.values().removeIf(until -> until <= now);
        List<FleetUpstream> responsive = known.stream()
                .filter(upstream -> !silentUntilMillis.containsKey(upstream.key()) && state.isAvailable(upstream, now))
                .toList();
        RolloutSelector.selectNext(
                        responsive,
                        view.newestWeightsVersions(),
                        reserved,
                        concurrentLoads(view) + reservedAhead(now),
                        upstream -> state.estimate(upstream, now).requests())
                .forEach(upstream -> {
                    tasks.put(upstream.key(), new LoadTask(upstream, now));
                    LOG.event("rollout_reserve")
                            .with("upstream", upstream.key())
                            .with("weights", upstream.weightsVersions())
                            .with("newest", view.newestWeightsVersions())
                            .info();
                });
    }

    // An engine is reserved as late as possible: in time to be announced and queried when another one has loaded.
    private int reservedAhead(long now) {
        if (Double.isNaN(loadMillis)) {
            return INITIAL_RESERVED_AHEAD;
        }
        double leadMillis = announceMillis.getAsLong() + STATUS_INTERVAL_MILLIS;
        return (int) tasks.values().stream()
                .filter(task -> task.ordered && now - task.orderedMillis >= loadMillis - leadMillis)
                .count();
    }

    private FleetUpstream withLoadedWeights(FleetUpstream upstream) {
        Map<String, Long> known = loaded.get(upstream.key());
        if (known == null) {
            return upstream;
        }
        Map<String, Long> versions = new HashMap<>(upstream.weightsVersions());
        versions.replaceAll((model, listed) -> Math.max(listed, known.getOrDefault(model, listed)));
        return new FleetUpstream(
                upstream.id(),
                upstream.incarnation(),
                upstream.service(),
                upstream.address(),
                upstream.zone(),
                upstream.slots(),
                upstream.draining(),
                versions);
    }

    private static int concurrentLoads(FleetView view) {
        long engines = view.upstreams().stream()
                .filter(upstream -> !upstream.weightsVersions().isEmpty())
                .count();
        return (int) Math.max(MIN_CONCURRENT, Math.floor(engines * CONCURRENT_SHARE));
    }

    private void advance(LoadTask task) {
        long now = timers.monotonicMillis();
        boolean announced = task.publishedMillis >= 0 && now - task.publishedMillis >= announceMillis.getAsLong();
        boolean mayAsk = !task.requestInFlight && now >= task.nextRequestAtMillis;
        if (!announced || !mayAsk || !state.isAvailable(task.upstream, now)) {
            return;
        }
        task.mayLoad = true;
        task.requestInFlight = true;
        Futures.whenDone(engineControl.status(task.upstream), control, (status, failure) -> {
            task.requestInFlight = false;
            task.nextRequestAtMillis = timers.monotonicMillis() + STATUS_INTERVAL_MILLIS;
            if (failure == null) {
                decide(task, status, state.snapshot().view());
            } else {
                LOG.event("engine_status_failed")
                        .with("upstream", task.upstream.key())
                        .with("reason", failure.getMessage())
                        .info();
                releaseSilent(task);
            }
        });
    }

    // An engine that was ordered to load keeps its place, because it may be loading.
    private void releaseSilent(LoadTask task) {
        if (!task.ordered && tasks.remove(task.upstream.key(), task)) {
            silentUntilMillis.put(task.upstream.key(), timers.monotonicMillis() + SILENT_PAUSE_MILLIS);
        }
    }

    private void decide(LoadTask task, EngineStatus status, FleetView view) {
        boolean restarted = status.incarnation() != task.upstream.incarnation();
        if (restarted || tasks.get(task.upstream.key()) != task) {
            tasks.remove(task.upstream.key(), task);
            return;
        }
        Optional<Map.Entry<String, Long>> outdated = status.weightsVersions().entrySet().stream()
                .filter(entry -> entry.getValue() < view.newestWeightsVersions().getOrDefault(entry.getKey(), 0L))
                .findFirst();
        if (status.busy()) {
            return;
        }
        if (outdated.isEmpty()) {
            loaded.put(task.upstream.key(), status.weightsVersions());
            tasks.remove(task.upstream.key());
            recordLoad(task);
            metrics.counter("weights_loads_total").inc();
            LOG.event("rollout_loaded")
                    .with("upstream", task.upstream.key())
                    .with("weights", status.weightsVersions())
                    .info();
        } else {
            String model = outdated.get().getKey();
            order(task, status, model, view.newestWeightsVersions().get(model));
        }
    }

    private void recordLoad(LoadTask task) {
        if (task.ordered) {
            long millis = timers.monotonicMillis() - task.orderedMillis;
            loadMillis = Double.isNaN(loadMillis) ? millis : loadMillis + NEWEST_LOAD_WEIGHT * (millis - loadMillis);
        }
    }

    private void order(LoadTask task, EngineStatus status, String model, long version) {
        if (!leadership.isHeld()) {
            return;
        }
        WeightsOrder order =
                new WeightsOrder(model, version, vmName, leadership.fencingToken(), status.acceptedOrders());
        task.requestInFlight = true;
        task.ordered = true;
        task.orderedMillis = timers.monotonicMillis();
        Futures.whenDone(engineControl.loadWeights(task.upstream, order), control, (response, failure) -> {
            task.requestInFlight = false;
            task.nextRequestAtMillis = timers.monotonicMillis() + STATUS_INTERVAL_MILLIS;
            metrics.counter("weights_orders_total").inc();
            LOG.event("rollout_order")
                    .with("upstream", task.upstream.key())
                    .with("model", model)
                    .with("version", version)
                    .with("fencing_token", order.fencingToken())
                    .with("expected_orders", order.expectedOrders())
                    .with("outcome", failure == null ? response : failure.type().code())
                    .info();
            if (response == OrderResponse.FENCED) {
                leadership.stepDown("fenced_by_" + task.upstream.key());
            } else if (response == OrderResponse.REJECTED) {
                tasks.remove(task.upstream.key(), task);
            }
        });
    }
}
