package io.agatelane.node.fleet;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.FleetView;
import io.agatelane.core.fleet.query.RolloutPlan;
import io.agatelane.core.hash.Rendezvous;
import io.agatelane.node.api.EngineControl;
import io.agatelane.node.api.EngineStatus;
import io.agatelane.node.api.OrderAnswer;
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
 * Brings the engines to the newest weights. Runs on the control thread.
 *
 * <p>An engine is first published as reserved; when all routers have had time to read that, it gets the order. So no
 * request meets an engine that is loading.
 */
public final class WeightsRollout {
    private static final EventLog LOG = EventLog.of(WeightsRollout.class);
    private static final long TICK_MILLIS = 150;
    // An engine is asked again after this time; a report is some hundred milliseconds old anyway.
    private static final long STATUS_MILLIS = 300;
    // An order without effect is given up after this time; a load takes about two seconds.
    private static final long TASK_MILLIS = 12_000;
    // Loads slow each other down when more than this share of the engines loads, and two may always load.
    private static final double CONCURRENT_SHARE = 0.25;
    private static final int MIN_CONCURRENT = 2;
    // Engines reserved ahead, so that one can start as soon as another is done.
    private static final int RESERVED_AHEAD = 1;
    private static final long TAKE_SPREAD_MILLIS = 800;

    private final FleetState state;
    private final FleetFollower follower;
    private final RolloutDuty duty;
    private final EngineControl engines;
    private final TimerService timers;
    private final Executor control;
    private final RandomGenerator random;
    private final String vmName;
    private final LongSupplier announceMillis;
    private final MetricRegistry metrics;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Long> loaded = new HashMap<>();
    private long takeAtMillis = Long.MAX_VALUE;
    private boolean stopped;

    private static final class Task {
        private final FleetUpstream upstream;
        private final long startedMillis;
        private long publishedMillis = -1;
        private long askAtMillis;
        private boolean asking;
        private boolean mayLoad;

        private Task(FleetUpstream upstream, long startedMillis) {
            this.upstream = upstream;
            this.startedMillis = startedMillis;
        }
    }

    /**
     * Creates a controller.
     *
     * @param announceMillis time in which every router reads a record that was published
     */
    public WeightsRollout(
            FleetState state,
            FleetFollower follower,
            RolloutDuty duty,
            EngineControl engines,
            TimerService timers,
            Executor control,
            RandomGenerator random,
            String vmName,
            LongSupplier announceMillis,
            MetricRegistry metrics) {
        this.state = state;
        this.follower = follower;
        this.duty = duty;
        this.engines = engines;
        this.timers = timers;
        this.control = control;
        this.random = random;
        this.vmName = vmName;
        this.announceMillis = announceMillis;
        this.metrics = metrics;
    }

    /** Begins to work. */
    public void start() {
        timers.every("weights-rollout", TICK_MILLIS, this::tick);
    }

    /** Gives no further orders and hands the duty over. */
    public CompletableFuture<Void> stop() {
        return Futures.on(control, () -> {
            stopped = true;
            tasks.clear();
            return duty.handOver();
        });
    }

    private void tick() {
        if (stopped) {
            return;
        }
        if (!duty.isHeld()) {
            tasks.clear();
            state.rolloutHints(RolloutHints.NONE);
            seekDuty();
            return;
        }
        FleetView view = state.knowledge().view();
        finishTasks(view);
        planTasks(view);
        state.rolloutHints(hints());
        duty.publish(record());
        duty.published().ifPresent(this::markPublished);
        int concurrent = concurrentLoads(view);
        for (Task task : List.copyOf(tasks.values())) {
            long loading =
                    tasks.values().stream().filter(other -> other.mayLoad).count();
            if (task.mayLoad || loading < concurrent) {
                advance(task);
            }
        }
    }

    // Routers that see the duty free wait for different times, so that mostly one of them asks the store.
    private void seekDuty() {
        // An old reading would make many routers ask for a duty that has long been taken.
        boolean free = follower.rollout().isEmpty()
                && follower.hasReadRecently()
                && !state.knowledge().view().newestWeights().isEmpty();
        long now = timers.monotonicMillis();
        if (!free) {
            takeAtMillis = Long.MAX_VALUE;
        } else if (takeAtMillis == Long.MAX_VALUE) {
            takeAtMillis = now + random.nextLong(TAKE_SPREAD_MILLIS);
        } else if (now >= takeAtMillis) {
            takeAtMillis = now + announceMillis.getAsLong();
            duty.tryTake();
        }
    }

    private RolloutHints hints() {
        Set<Long> reserved = new HashSet<>();
        tasks.values().forEach(task -> reserved.add(FleetState.hash(task.upstream)));
        Map<Long, Long> versions = new HashMap<>();
        loaded.forEach((key, version) -> versions.put(Rendezvous.hash(key), version));
        return new RolloutHints(reserved, versions);
    }

    private RolloutRecord record() {
        Set<String> reserved = new HashSet<>();
        tasks.values().forEach(task -> reserved.add(task.upstream.id()));
        return new RolloutRecord(vmName, reserved, loaded);
    }

    private void markPublished(RolloutRecord published) {
        for (Task task : tasks.values()) {
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
        tasks.values().removeIf(task -> timers.monotonicMillis() - task.startedMillis > TASK_MILLIS);
    }

    private void planTasks(FleetView view) {
        List<FleetUpstream> known =
                view.upstreams().stream().map(this::withLoadedWeights).toList();
        Set<String> reserved = new HashSet<>();
        tasks.values().forEach(task -> reserved.add(task.upstream.id()));
        long now = timers.monotonicMillis();
        RolloutPlan.next(
                        known,
                        view.newestWeights(),
                        reserved,
                        concurrentLoads(view) + RESERVED_AHEAD,
                        upstream -> state.estimate(upstream, now).requests())
                .forEach(upstream -> {
                    tasks.put(upstream.key(), new Task(upstream, now));
                    LOG.event("rollout_reserve")
                            .with("upstream", upstream.key())
                            .with("weights", upstream.weightsVersions())
                            .with("newest", view.newestWeights())
                            .info();
                });
    }

    private FleetUpstream withLoadedWeights(FleetUpstream upstream) {
        Long version = loaded.get(upstream.key());
        if (version == null) {
            return upstream;
        }
        Map<String, Long> versions = new HashMap<>(upstream.weightsVersions());
        versions.replaceAll((model, stated) -> Math.max(stated, version));
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

    private void advance(Task task) {
        long now = timers.monotonicMillis();
        boolean announced = task.publishedMillis >= 0 && now - task.publishedMillis >= announceMillis.getAsLong();
        if (!announced || task.asking || now < task.askAtMillis) {
            return;
        }
        task.mayLoad = true;
        task.asking = true;
        Futures.whenDone(engines.status(task.upstream), control, (status, failure) -> {
            task.asking = false;
            task.askAtMillis = timers.monotonicMillis() + STATUS_MILLIS;
            if (failure == null) {
                decide(task, status, state.knowledge().view());
            } else {
                LOG.event("engine_status_failed")
                        .with("upstream", task.upstream.key())
                        .with("reason", failure.getMessage())
                        .info();
            }
        });
    }

    private void decide(Task task, EngineStatus status, FleetView view) {
        boolean restarted = status.incarnation() != task.upstream.incarnation();
        if (restarted || tasks.get(task.upstream.key()) != task) {
            tasks.remove(task.upstream.key(), task);
            return;
        }
        Optional<Map.Entry<String, Long>> outdated = status.weightsVersions().entrySet().stream()
                .filter(entry -> entry.getValue() < view.newestWeights().getOrDefault(entry.getKey(), 0L))
                .findFirst();
        if (status.busy()) {
            return;
        }
        if (outdated.isEmpty()) {
            status.weightsVersions().values().forEach(version -> loaded.merge(task.upstream.key(), version, Math::max));
            tasks.remove(task.upstream.key());
            metrics.counter("weights_loads_total").inc();
            LOG.event("rollout_loaded")
                    .with("upstream", task.upstream.key())
                    .with("weights", status.weightsVersions())
                    .info();
        } else {
            String model = outdated.get().getKey();
            order(task, status, model, view.newestWeights().get(model));
        }
    }

    private void order(Task task, EngineStatus status, String model, long version) {
        if (!duty.isHeld()) {
            return;
        }
        WeightsOrder order = new WeightsOrder(model, version, vmName, duty.fencingToken(), status.acceptedOrders());
        task.asking = true;
        Futures.whenDone(engines.load(task.upstream, order), control, (answer, failure) -> {
            task.asking = false;
            task.askAtMillis = timers.monotonicMillis() + STATUS_MILLIS;
            metrics.counter("weights_orders_total").inc();
            LOG.event("rollout_order")
                    .with("upstream", task.upstream.key())
                    .with("model", model)
                    .with("version", version)
                    .with("fencing_token", order.fencingToken())
                    .with("expected_orders", order.expectedOrders())
                    .with("outcome", failure == null ? answer : failure.type().code())
                    .info();
            if (answer == OrderAnswer.FENCED) {
                duty.stepDown("fenced_by_" + task.upstream.key());
            } else if (answer == OrderAnswer.REJECTED) {
                tasks.remove(task.upstream.key(), task);
            }
        });
    }
}
