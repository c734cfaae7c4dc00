package io.agatelane.node.io.orders;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.model.Upstream;
import io.agatelane.core.orders.DesiredState;
import io.agatelane.core.orders.OrderRecord;
import io.agatelane.core.orders.OrderStep;
import io.agatelane.core.orders.OrderTiming;
import io.agatelane.core.orders.SendOutcome;
import io.agatelane.core.orders.command.OrderMachine;
import io.agatelane.core.orders.query.OrderAssignment;
import io.agatelane.node.api.ConfigView;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.Member;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.util.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Brings the engines that this router sends orders to into the state that the configuration requires. All state is
 * confined to the control thread.
 */
public final class OrderController implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(OrderController.class);
    private static final String KEY_PREFIX = "orders/";
    private static final long TICK_MILLIS = 500;
    /** Concurrent platform calls of one router; more would let a fleet-wide roll-out overload the platform. */
    private static final int MAX_PLATFORM_CALLS = 2;
    /** Delay before this router tries again to take a slot or an engine key that other routers hold. */
    private static final long SLOT_RETRY_MILLIS = 2_000;

    private final NodeContext context;
    private final ConfigView config;
    private final MembershipView membership;
    private final KeyValueStore store;
    private final OrderTiming timing;
    private final EngineOrderClient engines;
    private final HolderLease lease;
    private final SlotKeys slots;
    private final Map<String, Task> tasks = new TreeMap<>();
    private final List<Subscription> subscriptions = new ArrayList<>();
    private boolean assignmentStale = true;
    private Task slotRequester;
    private List<String> assignedLiveRouters = List.of();
    private long assignedRevision = -1;
    private long nextSlotAttemptMillis;
    private int runningPlatformCalls;
    private boolean closed;

    public OrderController(NodeContext context, ConfigView config, MembershipView membership, KeyValueStore store) {
        this(
                context,
                config,
                membership,
                store,
                OrderTiming.DEFAULT,
                new HttpEngineOrderClient(OrderTiming.DEFAULT.longestOrderMillis()));
    }

    OrderController(
            NodeContext context,
            ConfigView config,
            MembershipView membership,
            KeyValueStore store,
            OrderTiming timing,
            EngineOrderClient engines) {
        this.context = context;
        this.config = config;
        this.membership = membership;
        this.store = store;
        this.timing = timing;
        this.engines = engines;
        this.lease = new HolderLease(context, store, timing);
        this.slots = new SlotKeys(context, store, timing);
    }

    /** Starts comparing engines with the configuration periodically. */
    public void start() {
        context.control().execute(() -> {
            subscriptions.add(config.onChange(snapshot -> assignmentStale = true));
            subscriptions.add(membership.onChange(members -> assignmentStale = true));
            subscriptions.add(context.timers().every("orders", TICK_MILLIS, this::tick));
        });
    }

    /** Stops sending orders and releases slots and leases. */
    @Override
    public void close() {
        context.control().execute(() -> {
            closed = true;
            subscriptions.forEach(Subscription::cancel);
            tasks.values().forEach(task -> {
                // The engine may still be loading weights after an order in flight, so the slot stays taken until other
                // routers treat it as abandoned.
                if (!task.orderInFlight) {
                    slots.release(task.upstream.name());
                }
                lease.release(task.upstream.name());
            });
            tasks.clear();
        });
        engines.close();
    }

    private void tick() {
        if (assignmentStale) {
            assignmentStale = false;
            updateAssignment();
        }
        long now = now();
        List.copyOf(tasks.values()).forEach(this::step);
        tasks.values()
                .removeIf(task -> !task.callRunning && task.machine.desired().isEmpty() && task.machine.isIdle(now));
    }

    private void updateAssignment() {
        ConfigSnapshot snapshot = config.current();
        List<String> liveRouters =
                membership.liveMembers().stream().map(Member::name).toList();
        if (liveRouters.equals(assignedLiveRouters) && snapshot.revision() == assignedRevision) {
            // Most membership changes concern configuration revisions of members, which do not affect the assignment.
            return;
        }
        assignedLiveRouters = liveRouters;
        assignedRevision = snapshot.revision();
        Map<String, DesiredState> orders =
                OrderAssignment.ordersOf(context.settings().vmName(), liveRouters, snapshot);
        for (Map.Entry<String, DesiredState> order : orders.entrySet()) {
            Upstream upstream = snapshot.upstream(order.getKey()).orElseThrow();
            Task task = tasks.computeIfAbsent(order.getKey(), name -> new Task(upstream, newMachine(name)));
            task.upstream = upstream;
            task.machine.setDesired(Optional.of(order.getValue()), snapshot.revision(), upstream.checksFencing());
        }
        tasks.forEach((name, task) -> {
            if (!orders.containsKey(name)) {
                task.machine.setDesired(Optional.empty(), snapshot.revision(), task.upstream.checksFencing());
            }
        });
    }

    private OrderMachine newMachine(String upstream) {
        return new OrderMachine(upstream, context.settings().vmName(), context.incarnation(), timing);
    }

    private void step(Task task) {
        if (task.callRunning || closed) {
            return;
        }
        // The age of a result counts from the start of its call, since this process may be paused before it handles it.
        long startMillis = now();
        OrderStep step = task.machine.nextStep(startMillis);
        switch (step) {
            case WAIT -> {}
            case READ_ENGINE -> continueWith(
                    task, engines.readState(task.upstream), state -> task.machine.engineRead(state, startMillis));
            case TAKE_LEASE -> startPlatformCall(task, () -> lease.take(task.name()), term -> leaseTaken(task, term));
            case RELEASE_LEASE -> {
                task.machine.leaseLost();
                lease.release(task.name());
            }
            case TAKE_SLOT -> takeSlot(task);
            case RELEASE_SLOT -> {
                task.machine.slotReleased();
                slots.release(task.name());
                scheduleStep(task);
            }
            case READ_KEY -> startPlatformCall(
                    task, () -> store.get(task.key()), found -> keyRead(task, found, startMillis));
            case WRITE_KEY -> writeKey(task, task.machine.recordToWrite());
            case SEND -> sendOrder(task);
            case MARK_DONE -> writeKey(task, task.machine.recordWhenDone());
            default -> throw new IllegalStateException("unhandled step " + step);
        }
    }

    private void scheduleStep(Task task) {
        context.control().execute(() -> step(task));
    }

    private <T> void continueWith(Task task, CompletableFuture<T> future, Consumer<T> success) {
        task.callRunning = true;
        var unused = future.whenComplete((value, failure) -> context.control().execute(() -> {
            task.callRunning = false;
            endPlatformCall(task);
            if (closed) {
                return;
            }
            if (failure == null) {
                success.accept(value);
                step(task);
            } else {
                stepFailed(task, AgatelaneException.from(failure));
            }
        }));
    }

    private <T> void startPlatformCall(Task task, Supplier<CompletableFuture<T>> starter, Consumer<T> success) {
        if (runningPlatformCalls >= MAX_PLATFORM_CALLS) {
            return;
        }
        runningPlatformCalls++;
        task.platformCallRunning = true;
        continueWith(task, starter.get(), success);
    }

    private void endPlatformCall(Task task) {
        if (task.platformCallRunning) {
            task.platformCallRunning = false;
            runningPlatformCalls--;
        }
        if (slotRequester == task) {
            slotRequester = null;
        }
    }

    private void stepFailed(Task task, AgatelaneException failure) {
        if (task.orderInFlight) {
            task.orderInFlight = false;
            task.machine.sendFinished(SendOutcome.UNKNOWN, now());
        }
        task.machine.keyUncertain();
        task.machine.failed(now());
        counter("failed").run();
        LOG.event("order_step_failed")
                .with("upstream", task.name())
                .with("failure", failure.type().code())
                .with("detail", failure.getMessage())
                .warning();
    }

    private void leaseTaken(Task task, Optional<HolderLease.Term> term) {
        if (term.isPresent()) {
            task.machine.leaseAcquired(term.get().heldSinceMillis(), term.get().expiresMillis());
        } else {
            task.machine.leaseLost();
            task.machine.postpone(SLOT_RETRY_MILLIS, now());
        }
    }

    private void takeSlot(Task task) {
        if (slotRequester != null || now() < nextSlotAttemptMillis || runningPlatformCalls >= MAX_PLATFORM_CALLS) {
            return;
        }
        slotRequester = task;
        Set<String> sameModel = OrderAssignment.enginesOfSameModel(task.upstream, config.current());
        startPlatformCall(task, () -> slots.take(task.name(), sameModel), heldSinceMillis -> {
            if (heldSinceMillis.isPresent()) {
                task.machine.slotTaken(heldSinceMillis.get());
            } else {
                nextSlotAttemptMillis = now() + SLOT_RETRY_MILLIS;
            }
        });
    }

    private void keyRead(Task task, Optional<KeyValue> found, long startMillis) {
        task.machine.keyRead(
                found.flatMap(OrderCodec::decode), found.map(KeyValue::revision).orElse(0L), startMillis);
    }

    private void writeKey(Task task, OrderRecord record) {
        long expected = task.machine.keyRevision();
        long startMillis = now();
        startPlatformCall(
                task,
                () -> store.compareAndSet(task.key(), expected, OrderCodec.encode(record)),
                revision -> task.machine.keyWritten(record, revision, startMillis));
    }

    private void sendOrder(Task task) {
        DesiredState desired = task.machine.desired().orElseThrow();
        long fencingNumber = task.machine.keyRevision();
        LOG.event("order_sent")
                .with("upstream", task.name())
                .with("fencing", Long.toString(fencingNumber))
                .with("model", desired.model())
                .with("weights", desired.weightsVersion())
                .info();
        counter("sent").run();
        task.orderInFlight = true;
        task.machine.sendStarted(now());
        continueWith(
                task, engines.sendOrder(task.upstream, fencingNumber, desired), outcome -> orderEnded(task, outcome));
    }

    private void orderEnded(Task task, SendOutcome outcome) {
        task.orderInFlight = false;
        task.machine.sendFinished(outcome, now());
        if (outcome == SendOutcome.STALE) {
            counter("stale").run();
        }
        if (outcome != SendOutcome.IN_FORCE) {
            LOG.event("order_not_confirmed")
                    .with("upstream", task.name())
                    .with("outcome", outcome)
                    .warning();
        }
    }

    private Runnable counter(String name) {
        return () ->
                context.metrics().counter(MetricRegistry.name("orders", name)).inc();
    }

    private long now() {
        return context.timers().monotonicMillis();
    }

    private static final class Task {
        private Upstream upstream;
        private final OrderMachine machine;
        private boolean callRunning;
        private boolean orderInFlight;
        private boolean platformCallRunning;

        private Task(Upstream upstream, OrderMachine machine) {
            this.upstream = upstream;
            this.machine = machine;
        }

        private String name() {
            return upstream.name();
        }

        private String key() {
            return KEY_PREFIX + upstream.name();
        }
    }
}
