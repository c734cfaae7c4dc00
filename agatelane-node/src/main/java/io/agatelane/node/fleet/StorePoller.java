package io.agatelane.node.fleet;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.fleet.ClockReading;
import io.agatelane.core.fleet.FleetConfig;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.FleetView;
import io.agatelane.node.api.FleetReadResult;
import io.agatelane.node.api.FleetSource;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.StoreContentId;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.control.Watchdog;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Polls the platform's store to keep the router's state current. Runs on the control thread.
 *
 * <p>A successful read verifies that the configuration was current when the read was sent. Unlike a watch, polling
 * needs no recovery of its own after a broken stream, a compacted history or an unresponsive connection: the next read
 * repairs everything.
 */
public final class StorePoller {
    private static final EventLog LOG = EventLog.of(StorePoller.class);
    // A failed read is retried soon, with jitter so that the routers do not all retry at the same time. Further
    // failures double the pause: the store charges for the calls that it rejects, too.
    private static final long RETRY_MILLIS = 150;
    private static final long MAX_RETRY_MILLIS = 1_200;
    private static final long RETRY_JITTER_MILLIS = 250;
    private static final int MAX_SHIFT = 10;
    // Upstreams whose entries expired during an outage of the store are listed again about two seconds after it.
    private static final long OUTAGE_GRACE_MILLIS = 2_000;
    // Time within which the operator writes its newest configuration again after the store went back to an older copy.
    private static final long CONFIG_REWRITE_MILLIS = 3_000;
    // Time after its start, or after the store went back, for which a router may read an older copy and not know it.
    private static final long COPY_DOUBT_MILLIS = 20_000;
    // Older than any bound on the age of a proof.
    private static final long WITHDRAWN_AGE_MILLIS = 86_400_000;
    // Interval between own reads while a relay confirms the content; these reads refresh the list of routers.
    private static final long RELAYED_POLL_MILLIS = 4_000;
    // A relay reads every 700 ms and forwards every 200 ms. A relayed verification time that is older than both plus
    // some delay shows that the relay cannot reach the store.
    private static final long MAX_RELAYED_AGE_MILLIS = 1_500;
    private static final long RELAYED_CHECK_MILLIS = 200;
    // Longer than the interval between two reads of a router whose content no relay confirms.
    private static final long RECENT_READ_MILLIS = 1_000;
    // Limits the reads because entries of upstreams change with each load of weights. Half of the time within which
    // routers must know that an upstream is leaving.
    private static final long DIRECTORY_READ_GAP_MILLIS = 1_500;
    // Several relayed reports of one change cause a single read.
    private static final long MIN_READ_GAP_MILLIS = 150;
    private static final long UNKNOWN_MILLIS = -1;
    // Longer than a read that times out and the pause after it. A router that has not tried to read for this long was
    // suspended.
    private static final long MAX_IDLE_MILLIS = 3_000;
    // Longer than any read that ends by itself, with its pause, and shorter than a proof of the configuration is used.
    private static final long MAX_SILENT_MILLIS = 4_000;

    private final FleetSource source;
    private final FleetState state;
    private final TimerService timers;
    private final Executor control;
    private final RandomGenerator random;
    private final long pollMillis;
    private final MetricRegistry metrics;
    private final DirectoryScan directory;
    private final List<Runnable> listeners = new ArrayList<>();
    private final List<Consumer<List<KeyValue>>> entryListeners = new ArrayList<>();
    private final KnownUpstreams knownUpstreams = new KnownUpstreams();
    private FleetView view = FleetView.EMPTY;
    private List<KeyValue> routerEntries = List.of();
    private Optional<KeyValue> rollout = Optional.empty();
    private Optional<KeyValue> requestTimesEntry = Optional.empty();
    private WeightsRequestTimes requestTimes = WeightsRequestTimes.NONE;
    private StoreContentId content = StoreContentId.NONE;
    private Optional<ClockReading> relayVerifiedAt = Optional.empty();
    private StoreContentId relayedContent = StoreContentId.NONE;
    private RolloutRecord rolloutRecord = RolloutRecord.NONE;
    private Watchdog.Heartbeat heartbeat = Watchdog.Heartbeat.NONE;
    private Subscription nextRead = () -> {};
    private boolean reading;
    private long readNumber;
    private long readStartedMillis;
    private long newestReadMillis;
    private boolean storeReachable = true;
    private int failedReads;
    private Optional<ClockReading> lastFailedAt = Optional.empty();
    private boolean wasIdle;
    private long storeRegainedMillis;
    private boolean configProven = true;
    private long configUnprovenUntilMillis;
    private long copyDoubtUntilMillis;
    private long awaitedConfigVersion;
    private boolean closed;

    /** Creates a poller; {@link #start} begins to read. */
    public StorePoller(
            FleetSource source,
            FleetState state,
            TimerService timers,
            Executor control,
            RandomGenerator random,
            long pollMillis,
            MetricRegistry metrics) {
        this.source = source;
        this.state = state;
        this.timers = timers;
        this.control = control;
        this.random = random;
        this.pollMillis = pollMillis;
        this.metrics = metrics;
        this.directory = new DirectoryScan(source, timers, control, this::applyDirectory);
        this.storeRegainedMillis = timers.monotonicMillis() - OUTAGE_GRACE_MILLIS;
    }

    /** Calls the listener on the control thread after each successful read. */
    public void subscribe(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Calls the listener on the control thread with the routers' entries of each successful read, before the state is
     * updated, so that it holds before the first request is served.
     */
    void subscribeToRouterEntries(Consumer<List<KeyValue>> listener) {
        entryListeners.add(listener);
    }

    /** Reads at once and then periodically. */
    public void start() {
        control.execute(this::read);
    }

    /** Lets a watchdog start the polling again if it stops. Must be called before {@link #start}. */
    void watch(Watchdog watchdog) {
        heartbeat = watchdog.watch("store-poll", MAX_SILENT_MILLIS, this::restart);
    }

    private void restart() {
        nextRead.cancel();
        directory.restart();
        readNumber++;
        reading = false;
        read();
    }

    /** Stops polling; a read in flight still completes. */
    public void close() {
        control.execute(() -> closed = true);
    }

    /** Whether the entries of the routers were read within the last second. */
    boolean hasReadRecently() {
        return state.snapshot().configVerifiedAt().isPresent()
                && timers.monotonicMillis() - newestReadMillis <= RECENT_READ_MILLIS;
    }

    /** The roll-out record as last read. */
    public Optional<KeyValue> rollout() {
        return rollout;
    }

    /** The entry with the times of requested weights, as last read. */
    Optional<KeyValue> requestTimesEntry() {
        return requestTimesEntry;
    }

    /** The times of requested weights in the store, as last read. */
    WeightsRequestTimes requestTimes() {
        return requestTimes;
    }

    /** Whether the last read proved that its configuration is the newest one. */
    boolean isConfigProven() {
        return configProven && state.snapshot().configVerifiedAt().isPresent();
    }

    /** Era of the store in which it was last read. */
    long era() {
        return content.era();
    }

    /** The store entries that routers have written, as last read. */
    public List<KeyValue> routerEntries() {
        return routerEntries;
    }

    /**
     * Compares the content that a relay has read with the content known here. The same operator entries verify that the
     * configuration of this router is current; different entries cause a read. Must be called on the control thread.
     *
     * @param relayed identifies the content that the relay has read
     * @param verifiedAt when the relay's content is known to have been current, in the clocks of this router
     */
    public void compareWithRelay(StoreContentId relayed, ClockReading verifiedAt) {
        long nowMillis = timers.monotonicMillis();
        relayedContent = relayed;
        if (relayed.hasSameOperatorEntries(content) && configProven) {
            relayVerifiedAt = Optional.of(verifiedAt);
            state.snapshot()
                    .configVerifiedAt()
                    .filter(known -> known.ageMillis(nowMillis, timers.epochMillis())
                            > verifiedAt.ageMillis(nowMillis, timers.epochMillis()))
                    .ifPresent(known -> state.confirmCurrent(verifiedAt));
        }
        boolean operatorChanged = content.operatorEntriesMayBeOlderThan(relayed);
        boolean upstreamsChanged = content.upstreamEntriesMayBeOlderThan(relayed);
        long gapMillis =
                Math.max(operatorChanged ? MIN_READ_GAP_MILLIS : DIRECTORY_READ_GAP_MILLIS, failurePauseMillis());
        if (!reading && (operatorChanged || upstreamsChanged) && nowMillis - readStartedMillis >= gapMillis) {
            if (operatorChanged) {
                readOnce(read -> {});
            } else {
                readPossiblyStale(read -> {});
            }
        }
    }

    /** Version of the configuration in use, for the other routers; 0 for a store without eras. */
    long configVersionForPeers() {
        return era() == 0 ? 0 : configVersion();
    }

    private long configVersion() {
        return view.config().map(FleetConfig::version).orElse(0L);
    }

    /**
     * Records the version of the configuration that another router uses. Soon after the start of this router a newer one
     * shows that the store may have lost it, and that what was read proves nothing. Must be called on the control thread.
     */
    void recordPeerConfig(long version) {
        boolean inDoubt = timers.monotonicMillis() < copyDoubtUntilMillis;
        if (!inDoubt || version <= Math.max(configVersion(), awaitedConfigVersion)) {
            return;
        }
        awaitedConfigVersion = version;
        LOG.event("config_awaited")
                .with("version", version)
                .with("known", configVersion())
                .info();
        if (configProven) {
            configProven = false;
            state.confirmCurrent(timers.now().earlierBy(WITHDRAWN_AGE_MILLIS));
        }
        if (!reading) {
            readOnce(read -> {});
        }
    }

    /** Identifies the content that this router has read; empty before the first read. */
    public Optional<StoreContentId> content() {
        return state.snapshot().configVerifiedAt().map(verifiedAt -> content);
    }

    private void read() {
        if (closed) {
            return;
        }
        if (reading) {
            scheduleRead(RELAYED_CHECK_MILLIS);
            return;
        }
        heartbeat.beat();
        if (isConfirmedByRelay() && !isRelayedPollDue()) {
            scheduleRead(RELAYED_CHECK_MILLIS);
            return;
        }
        Consumer<Boolean> scheduleNext = succeeded ->
                scheduleRead(succeeded ? pollMillis : failurePauseMillis() + random.nextLong(RETRY_JITTER_MILLIS));
        if (isConfirmedByRelay()) {
            readPossiblyStale(scheduleNext);
        } else {
            readOnce(scheduleNext);
        }
    }

    private void scheduleRead(long delayMillis) {
        nextRead = timers.after(delayMillis, this::read);
    }

    // Pause after the reads that have failed in a row; 0 after a successful one.
    private long failurePauseMillis() {
        return failedReads == 0 ? 0 : Math.min(MAX_RETRY_MILLIS, RETRY_MILLIS << Math.min(failedReads - 1, MAX_SHIFT));
    }

    private boolean isConfirmedByRelay() {
        long nowMillis = timers.monotonicMillis();
        return relayVerifiedAt
                .filter(verifiedAt -> verifiedAt.ageMillis(nowMillis, timers.epochMillis()) <= MAX_RELAYED_AGE_MILLIS)
                .isPresent();
    }

    private boolean isRelayedPollDue() {
        return timers.monotonicMillis() - readStartedMillis >= RELAYED_POLL_MILLIS;
    }

    // A state that may be old is used only where a relay has shown it to be the newest; otherwise the newest is read.
    private void readPossiblyStale(Consumer<Boolean> then) {
        reading = true;
        readStartedMillis = timers.monotonicMillis();
        long number = ++readNumber;
        Futures.whenDone(source.readPossiblyStale(), control, (read, failure) -> {
            if (number != readNumber) {
                return;
            }
            reading = false;
            Optional<ClockReading> verifiedAt = state.snapshot().configVerifiedAt();
            if (failure != null || verifiedAt.isEmpty() || !isAsRelayed(read)) {
                metrics.counter("store_stale_reads_unused_total").inc();
                readOnce(then);
                return;
            }
            metrics.counter("store_stale_reads_total").inc();
            try {
                apply(directory.complete(withNewestRollout(read), true), verifiedAt.get());
            } finally {
                then.accept(true);
            }
        });
    }

    private boolean isAsRelayed(FleetReadResult read) {
        return read.restOfDirectory().isEmpty()
                ? read.content().equals(relayedContent)
                : read.content().hasSameOperatorEntries(relayedContent);
    }

    // The roll-out record is no part of the compared content, and its revision must not go back. Revisions of a later
    // era of the store are larger, so a record of an earlier era does not stay.
    private FleetReadResult withNewestRollout(FleetReadResult read) {
        boolean hasOlder = read.routerEntries().stream().anyMatch(this::isOlderRollout);
        if (!hasOlder) {
            return read;
        }
        List<KeyValue> entries = read.routerEntries().stream()
                .map(item -> isOlderRollout(item) ? rollout.orElse(item) : item)
                .toList();
        return read.withRouterEntries(entries);
    }

    private boolean isOlderRollout(KeyValue item) {
        return item.key().equals(RolloutRecord.KEY)
                && rollout.filter(known -> known.revision() > item.revision()).isPresent();
    }

    private void readOnce(Consumer<Boolean> then) {
        reading = true;
        heartbeat.beat();
        readStartedMillis = timers.monotonicMillis();
        ClockReading verifiedAt = timers.now();
        long number = ++readNumber;
        Futures.whenDone(source.read(), control, (read, failure) -> {
            if (number != readNumber) {
                return;
            }
            reading = false;
            try {
                if (failure == null) {
                    newestReadMillis = timers.monotonicMillis();
                    apply(directory.complete(read, false), verifiedAt);
                } else {
                    recordFailure(failure);
                }
            } finally {
                // Without the next read, content that cannot be applied would leave the router with outdated state.
                then.accept(failure == null);
            }
        });
    }

    private void recordFailure(AgatelaneException failure) {
        wasIdle |= isIdleUntil(timers.now());
        lastFailedAt = Optional.of(timers.now());
        failedReads++;
        metrics.counter("store_read_failures_total").inc();
        if (storeReachable) {
            LOG.event("dependency_lost")
                    .with("dependency", "store")
                    .with("reason", failure.getMessage())
                    .warning();
        }
        storeReachable = false;
    }

    private boolean isIdleUntil(ClockReading now) {
        return lastFailedAt
                .or(() -> state.snapshot().configVerifiedAt())
                .filter(last -> last.ageMillis(now.monotonicMillis(), now.epochMillis()) > MAX_IDLE_MILLIS)
                .isPresent();
    }

    private void apply(FleetReadResult read, ClockReading verifiedAt) {
        metrics.counter("store_reads_total").inc();
        boolean afterOutage = failedReads > 0 && !wasIdle && !isIdleUntil(verifiedAt);
        failedReads = 0;
        lastFailedAt = Optional.empty();
        wasIdle = false;
        if (!storeReachable) {
            storeReachable = true;
            storeRegainedMillis = timers.monotonicMillis();
            LOG.event("dependency_regained").with("dependency", "store").info();
        }
        if (read.content().era() < content.era()) {
            // A delayed result: what it holds may be gone from the store.
            metrics.counter("store_outdated_reads_total").inc();
            return;
        }
        if (read.content().era() > content.era()) {
            copyDoubtUntilMillis = timers.monotonicMillis() + COPY_DOUBT_MILLIS;
            if (state.snapshot().configVerifiedAt().isPresent()) {
                startEra(read.content().era());
            }
        }
        boolean mayBeCopy = state.snapshot().configVerifiedAt().isEmpty()
                && !EraMarker.isProven(read.content().era(), read.routerEntries());
        routerEntries = read.routerEntries();
        content = read.content();
        entryListeners.forEach(listener -> listener.accept(routerEntries));
        ClockReading provenAt = mayBeCopy ? awaitRewrite(verifiedAt) : provenAt(read.view(), verifiedAt);
        FleetView next = merge(read.view());
        rolloutRecord = rolloutRecord(read.routerEntries());
        requestTimes = requestTimes(read.routerEntries());
        update(next, verifiedAt, provenAt, afterOutage);
    }

    private void update(FleetView merged, ClockReading verifiedAt, ClockReading provenAt, boolean afterOutage) {
        FleetView next = new FleetView(
                merged.config(), merged.upstreams(), merged.newestWeightsVersions(), rolloutRecord.reserved());
        FleetViewLog.logChanges(view, next, unreadMillis(verifiedAt));
        view = next;
        state.update(next, verifiedAt, provenAt, rolloutRecord, requestTimes, afterOutage);
        listeners.forEach(Runnable::run);
    }

    // A possibly stale directory is used only where a relay has shown it to be the newest; otherwise the newest is
    // read.
    private boolean applyDirectory(DirectoryScan.Directory listed) {
        Optional<ClockReading> provenAt = state.snapshot().configVerifiedAt();
        if (closed || provenAt.isEmpty() || listed.era() != content.era()) {
            return false;
        }
        StoreContentId next = new StoreContentId(content.era(), content.operatorEntries(), listed.entries());
        if (listed.mayBeStale() && !next.equals(relayedContent)) {
            if (!reading) {
                readOnce(read -> {});
            }
            return false;
        }
        content = next;
        FleetView merged =
                new FleetView(view.config(), withMissing(listed.upstreams()), view.newestWeightsVersions(), Set.of());
        update(merged, timers.now(), provenAt.get(), false);
        return true;
    }

    private void startEra(long era) {
        long nowMillis = timers.monotonicMillis();
        metrics.counter("store_era_changes_total").inc();
        LOG.event("store_era_changed")
                .with("era", era)
                .with("before", content.era())
                .with("config", view.config().map(FleetConfig::version).orElse(0L))
                .with("upstreams", view.upstreams().size())
                .warning();
        state.rememberWeightsVersions();
        knownUpstreams.startEra(view.upstreams(), nowMillis);
        configUnprovenUntilMillis = nowMillis + CONFIG_REWRITE_MILLIS;
    }

    // A router that starts may read an older copy to which the store has just gone back.
    private ClockReading awaitRewrite(ClockReading verifiedAt) {
        LOG.event("config_unproven")
                .with("era", content.era())
                .with("max_ms", CONFIG_REWRITE_MILLIS)
                .info();
        configProven = false;
        configUnprovenUntilMillis = timers.monotonicMillis() + CONFIG_REWRITE_MILLIS;
        return verifiedAt.earlierBy(WITHDRAWN_AGE_MILLIS);
    }

    // After the store went back, a read does not prove that the configuration is the newest one: one that was
    // acknowledged and lost may have revoked a key. It does once the operator has written a newer one, or has had
    // time to.
    private ClockReading provenAt(FleetView read, ClockReading verifiedAt) {
        long known = configVersion();
        long version = read.config().map(FleetConfig::version).orElse(known);
        if (version > known) {
            configUnprovenUntilMillis = 0;
        }
        configProven = version >= Math.max(known, awaitedConfigVersion)
                && timers.monotonicMillis() >= configUnprovenUntilMillis;
        return configProven ? verifiedAt : state.snapshot().configVerifiedAt().orElse(verifiedAt);
    }

    private FleetView merge(FleetView read) {
        boolean regressed = view.config().isPresent()
                && read.config().isPresent()
                && read.config().get().version() < view.config().get().version();
        if (regressed) {
            LOG.event("config_regressed")
                    .with("version", read.config().get().version())
                    .with("known", view.config().get().version())
                    .with("action", "keeps_newer")
                    .warning();
        }
        Map<String, Long> weights = new HashMap<>(view.newestWeightsVersions());
        read.newestWeightsVersions().forEach((model, version) -> weights.merge(model, version, Math::max));
        return new FleetView(
                regressed || read.config().isEmpty() ? view.config() : read.config(),
                withMissing(read.upstreams()),
                weights,
                Set.of());
    }

    // Shortly after an outage of the store, entries of upstreams that are alive may still be missing.
    private List<FleetUpstream> withMissing(List<FleetUpstream> read) {
        long nowMillis = timers.monotonicMillis();
        boolean shortlyAfterOutage = nowMillis - storeRegainedMillis < OUTAGE_GRACE_MILLIS;
        return knownUpstreams.merge(read, shortlyAfterOutage ? view.upstreams() : List.of(), nowMillis);
    }

    private RolloutRecord rolloutRecord(List<KeyValue> items) {
        rollout = find(items, RolloutRecord.KEY);
        return rollout.flatMap(item -> decode(item, RolloutRecord::decode)).orElse(RolloutRecord.NONE);
    }

    private WeightsRequestTimes requestTimes(List<KeyValue> items) {
        requestTimesEntry = find(items, WeightsRequestTimes.KEY);
        return requestTimesEntry
                .flatMap(item -> decode(item, WeightsRequestTimes::decode))
                .orElse(WeightsRequestTimes.NONE);
    }

    private static Optional<KeyValue> find(List<KeyValue> items, String key) {
        return items.stream().filter(item -> item.key().equals(key)).findFirst();
    }

    private static <T> Optional<T> decode(KeyValue item, Function<byte[], T> decoder) {
        try {
            return Optional.of(decoder.apply(item.value()));
        } catch (AgatelaneException e) {
            LOG.event("router_record_unreadable")
                    .with("key", item.key())
                    .with("reason", e.getMessage())
                    .with("action", "ignored")
                    .warning();
            return Optional.empty();
        }
    }

    // Time since the read before, within which the content may have changed; unknown before the first read.
    private long unreadMillis(ClockReading verifiedAt) {
        return state.snapshot()
                .configVerifiedAt()
                .map(previous -> previous.ageMillis(verifiedAt.monotonicMillis(), verifiedAt.epochMillis()))
                .orElse(UNKNOWN_MILLIS);
    }
}
