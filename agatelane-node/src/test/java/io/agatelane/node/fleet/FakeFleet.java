package io.agatelane.node.fleet;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.CallerLimits;
import io.agatelane.core.fleet.FleetConfig;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.FleetView;
import io.agatelane.node.api.EngineControl;
import io.agatelane.node.api.EngineStatus;
import io.agatelane.node.api.FleetReadResult;
import io.agatelane.node.api.FleetSource;
import io.agatelane.node.api.OrderResponse;
import io.agatelane.node.api.StoreContentId;
import io.agatelane.node.api.WeightsOrder;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Simulated engines with two models, and the weights versions that the operator requests. Runs on the test's clock. */
final class FakeFleet implements FleetSource, EngineControl {
    static final String MODEL = "m";
    /** A second model of each engine; the operator requests newer weights of it only where a test does. */
    static final String OTHER_MODEL = "other";

    private static final long LOAD_MILLIS = 1_800;
    private static final long TIMEOUT_MILLIS = 900;

    private final FakeControl control;
    private final FakeKeyValueStore store;
    private final Map<String, Engine> engines = new HashMap<>();
    private final List<WeightsOrder> accepted = new ArrayList<>();
    private final List<Long> acceptedAtMillis = new ArrayList<>();
    private final Map<String, Long> requestedVersions = new HashMap<>(Map.of(MODEL, 1L, OTHER_MODEL, 1L));
    private long lostResponseDelayMillis = -1;
    private OptionalLong statedVersion = OptionalLong.empty();
    private Optional<FleetConfig> config = Optional.empty();
    private boolean storeDown;
    private int maxConcurrentLoads;
    private int newestReads;
    private int staleReads;
    private Optional<CompletableFuture<FleetReadResult>> staleResult = Optional.empty();

    FakeFleet(FakeControl control, FakeKeyValueStore store, int size) {
        this.control = control;
        this.store = store;
        for (int i = 0; i < size; i++) {
            engines.put("e" + i, new Engine());
        }
    }

    private static final class Engine {
        private long incarnation = 1;
        private final Map<String, Long> versions = new HashMap<>(Map.of(MODEL, 1L, OTHER_MODEL, 1L));
        private long orders;
        private long highestToken;
        private boolean busy;
        private boolean listed = true;
        private boolean silent;
    }

    void requestVersion(long version) {
        requestVersion(MODEL, version);
    }

    void requestVersion(String model, long version) {
        requestedVersions.put(model, version);
    }

    /** From now on orders get no response and are carried out after a delay; a negative delay ends that. */
    void loseResponses(long delayMillis) {
        lostResponseDelayMillis = delayMillis;
    }

    /** From now on the entries of all engines state this version, whatever they have. */
    void stateVersions(long version) {
        statedVersion = OptionalLong.of(version);
    }

    /** Writes a configuration without routes. */
    void configure(long version) {
        CallerLimits limits = new CallerLimits(1_000, 1_000, 1_000, 1_000);
        config = Optional.of(new FleetConfig(version, List.of(), Map.of(), List.of(), Map.of(), false, limits));
    }

    void setStoreDown(boolean down) {
        storeDown = down;
        store.setOutage(down);
    }

    /** Removes the entry of an engine from the directory, or adds it again. */
    void setListed(String id, boolean listed) {
        engines.get(id).listed = listed;
    }

    /** Makes an engine that is still listed stop responding, or respond again. */
    void setSilent(String id, boolean silent) {
        engines.get(id).silent = silent;
    }

    /** Restarts an engine with other weights. */
    void restart(String id, long version) {
        Engine engine = engines.get(id);
        engine.incarnation++;
        engine.versions.put(MODEL, version);
        engine.orders = 0;
        engine.highestToken = 0;
        engine.busy = false;
    }

    /** Number of engines that have loaded a version. */
    long countWithVersion(long version) {
        return engines.values().stream()
                .filter(engine -> engine.versions.get(MODEL) == version)
                .count();
    }

    long oldestVersion() {
        return oldestVersion(MODEL);
    }

    long oldestVersion(String model) {
        return engines.values().stream()
                .mapToLong(engine -> engine.versions.get(model))
                .min()
                .orElseThrow();
    }

    List<WeightsOrder> accepted() {
        return accepted;
    }

    /** When the orders of {@link #accepted} were accepted. */
    List<Long> acceptedAtMillis() {
        return acceptedAtMillis;
    }

    int maxConcurrentLoads() {
        return maxConcurrentLoads;
    }

    int newestReads() {
        return newestReads;
    }

    int staleReads() {
        return staleReads;
    }

    /** From now on possibly stale reads return the present state, whatever changes. */
    void freezeStaleReads() {
        staleResult = Optional.of(read());
    }

    @Override
    public CompletableFuture<FleetReadResult> readPossiblyStale() {
        staleReads++;
        return staleResult.orElseGet(() -> {
            newestReads--;
            return read();
        });
    }

    @Override
    public CompletableFuture<FleetReadResult> read() {
        newestReads++;
        if (storeDown) {
            return CompletableFuture.failedFuture(
                    new AgatelaneException(FailureType.PLATFORM_UNAVAILABLE, "the store is down"));
        }
        List<FleetUpstream> upstreams = new ArrayList<>();
        engines.forEach((id, engine) -> {
            if (engine.listed) {
                upstreams.add(upstream(id, engine));
            }
        });
        FleetView view = new FleetView(config, upstreams, requestedVersions, Set.of());
        return store.list("").thenApply(items -> new FleetReadResult(view, content(upstreams), items));
    }

    private StoreContentId content(List<FleetUpstream> upstreams) {
        return new StoreContentId(
                store.era(),
                new StoreContentId.EntrySetId(1, requestedVersions.hashCode()),
                new StoreContentId.EntrySetId(1, upstreams.hashCode()));
    }

    private FleetUpstream upstream(String id, Engine engine) {
        Map<String, Long> stated = new HashMap<>(engine.versions);
        statedVersion.ifPresent(version -> stated.put(MODEL, version));
        return new FleetUpstream(id, engine.incarnation, "s", "10.0.0.1:80" + id.substring(1), "z", 8, false, stated);
    }

    @Override
    public CompletableFuture<EngineStatus> status(FleetUpstream upstream) {
        Engine engine = engines.get(upstream.id());
        if (engine.silent) {
            CompletableFuture<EngineStatus> lost = new CompletableFuture<>();
            control.after(
                    TIMEOUT_MILLIS,
                    () -> lost.completeExceptionally(
                            new AgatelaneException(FailureType.PLATFORM_UNAVAILABLE, "no response")));
            return lost;
        }
        return CompletableFuture.completedFuture(
                new EngineStatus(engine.incarnation, engine.busy, engine.orders, Map.copyOf(engine.versions)));
    }

    @Override
    public CompletableFuture<Long> cacheStoreIncarnation(String address) {
        return CompletableFuture.completedFuture(1L);
    }

    @Override
    public CompletableFuture<OrderResponse> loadWeights(FleetUpstream upstream, WeightsOrder order) {
        Engine engine = engines.get(upstream.id());
        if (lostResponseDelayMillis >= 0) {
            control.after(lostResponseDelayMillis, () -> carryOut(engine, order));
            return CompletableFuture.failedFuture(
                    new AgatelaneException(FailureType.WRITE_OUTCOME_UNKNOWN, "no response"));
        }
        return CompletableFuture.completedFuture(carryOut(engine, order));
    }

    private OrderResponse carryOut(Engine engine, WeightsOrder order) {
        if (order.fencingToken() < engine.highestToken) {
            return OrderResponse.FENCED;
        }
        engine.highestToken = order.fencingToken();
        if (engine.busy || engine.orders != order.expectedOrders()) {
            return OrderResponse.CONFLICT;
        }
        accepted.add(order);
        acceptedAtMillis.add(control.monotonicMillis());
        engine.orders++;
        engine.busy = true;
        maxConcurrentLoads = Math.max(maxConcurrentLoads, (int)
                engines.values().stream().filter(other -> other.busy).count());
        long incarnation = engine.incarnation;
        control.after(LOAD_MILLIS, () -> {
            if (engine.incarnation == incarnation) {
                engine.busy = false;
                engine.versions.put(order.model(), order.version());
            }
        });
        return OrderResponse.STARTED;
    }
}
