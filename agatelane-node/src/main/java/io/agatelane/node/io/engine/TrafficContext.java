package io.agatelane.node.io.engine;

import io.agatelane.core.hash.Rendezvous;
import io.agatelane.core.poison.SuspectTable;
import io.agatelane.core.poison.SuspectTable.Suspect;
import io.agatelane.core.routing.HintTable;
import io.agatelane.core.routing.PrefixRates;
import io.agatelane.core.routing.RequestProfile;
import io.agatelane.core.routing.query.EngineChooser;
import io.agatelane.node.api.GossipHintExchange;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.cfg.Settings;
import io.agatelane.node.util.EventLog;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** State and services that the chat calls of one router share. */
final class TrafficContext {
    private static final EventLog LOG = EventLog.of(TrafficContext.class);
    // 2^17 hints of 16 bytes: 2 MB, enough for several seconds of distinct prefixes on one router.
    private static final int HINT_TABLE_BITS = 17;
    private static final long CLOSE_GRACE_MILLIS = 1_000;
    private static final int RATE_TABLE_BITS = 15;
    // An earlier hedge would only react to the normal latency variation of a healthy engine.
    private static final double MIN_HEDGE_DELAY_MILLIS = 50;
    private static final double HEDGE_EXPECTED_FACTOR = 1.5;
    private static final double HEDGE_FALLBACK_FACTOR = 4;

    private final NodeContext context;
    private final EngineTable table;
    private final EngineClient client = new EngineClient();
    private final HintTable hints = new HintTable(HINT_TABLE_BITS);
    private final TrafficMetrics metrics;
    private final PrefixRates prefixRates = new PrefixRates(RATE_TABLE_BITS);
    private final ThreadLocal<EngineChooser> choosers =
            ThreadLocal.withInitial(() -> new EngineChooser(hints, prefixRates));
    private final Admission admission = new Admission();
    private final Dispatcher dispatcher = new Dispatcher(this);
    private final FirstTokenTimes firstTokenTimes = new FirstTokenTimes();
    private final GossipLink gossip;
    private final Set<ChatCall> calls = ConcurrentHashMap.newKeySet();
    private final ScheduledThreadPoolExecutor timer;
    private final long nonceKey;
    private final AtomicLong nonceCounter = new AtomicLong();

    TrafficContext(NodeContext context, GossipHintExchange hintExchange) {
        this.context = context;
        this.table = new EngineTable(context);
        this.gossip = new GossipLink(context, hintExchange, table, admission);
        this.metrics = new TrafficMetrics(context.metrics());
        Settings settings = context.settings();
        long seed = settings.randomSeed() == 0 ? Rendezvous.hash(settings.vmName()) : settings.randomSeed();
        // The start time keeps the request ids of a restarted router distinct from its earlier ones.
        this.nonceKey =
                Rendezvous.weight(Rendezvous.weight(seed, Rendezvous.hash(settings.vmName())), context.incarnation());
        this.timer = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "engine-timer-" + settings.vmName());
            thread.setDaemon(true);
            return thread;
        });
        timer.setRemoveOnCancelPolicy(true);
    }

    NodeContext context() {
        return context;
    }

    EngineTable table() {
        return table;
    }

    EngineClient client() {
        return client;
    }

    HintTable hints() {
        return hints;
    }

    TrafficMetrics metrics() {
        return metrics;
    }

    PrefixRates prefixRates() {
        return prefixRates;
    }

    Admission admission() {
        return admission;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    GossipLink gossip() {
        return gossip;
    }

    FirstTokenTimes firstTokenTimes() {
        return firstTokenTimes;
    }

    /** Number of routers that share the engines, as known from gossip; at least 1. */
    int routers() {
        return gossip.routers();
    }

    /** Returns the properties of a request on which routing depends. */
    RequestProfile profile(ChatRequest request) {
        return new RequestProfile(
                request.model().name(), request.prompt(), admission.expectedOutput(request), nextNonce());
    }

    /** Whether a running call reads the stream of this engine request. */
    boolean usesEngineRequest(String engineRequestId) {
        return calls().stream().anyMatch(call -> call.usesEngineRequest(engineRequestId));
    }

    /** Cancels an attempt's request at its engine. */
    void cancelAtEngine(EngineAttempt attempt) {
        client().cancel(attempt.engine().baseUrl(), attempt.engineRequestId());
    }

    /** Cancels an attempt's request at its engine unless its caller has resumed the stream. */
    void cancelUnlessResumed(EngineAttempt attempt) {
        if (!usesEngineRequest(attempt.engineRequestId())) {
            cancelAtEngine(attempt);
        }
    }

    /** Counts a request for each of its prefixes. */
    void recordPrefixes(RequestProfile profile, long nowMillis) {
        for (int level = 0; level < profile.levelCount(); level++) {
            prefixRates().record(profile.digest(level), nowMillis);
        }
    }

    /** Records hints that an engine has cached the prefixes of a request. */
    void recordCached(RequestProfile profile, long nodeHash, long engineKey, long nowMillis) {
        for (int level = 0; level < profile.levelCount(); level++) {
            hints().put(nodeHash, engineKey, profile.digest(level), nowMillis);
        }
    }

    /** Returns the time without a first token after which a short request is hedged. */
    double hedgeAfterMillis(ChatRequest request, EngineChoice choice) {
        double expectedMillis = choice.expectedMillis();
        double typicalMillis =
                firstTokenTimes.p95Millis(request.model().name(), HEDGE_FALLBACK_FACTOR * expectedMillis);
        return Math.max(MIN_HEDGE_DELAY_MILLIS, Math.max(typicalMillis, HEDGE_EXPECTED_FACTOR * expectedMillis));
    }

    void recordFirstToken(ChatRequest request, EngineChoice choice, long millis) {
        metrics.firstToken.update(millis, TimeUnit.MILLISECONDS);
        if (!choice.longRequest()) {
            firstTokenTimes.record(request.model().name(), millis);
        }
    }

    /** Whether the request is suspected of crashing engines and another call with the same fingerprint is running. */
    boolean isSuspectRunningInOtherCall(ChatCall call) {
        RequestFingerprint fingerprint = call.fingerprint();
        return admission.isSuspect(fingerprint, nowMillis())
                && calls.stream().anyMatch(other -> other != call && other.hasFingerprint(fingerprint));
    }

    /** Records that a request was answered completely. */
    void recordAnswer(ChatRequest request) {
        admission.crashes().recordAnswer(request.fingerprint().hex(), nowMillis());
    }

    /** Records that a request was running when its engine crashed, and publishes it to the other routers. */
    void recordCrash(ChatCall call, ChatRequest request, Engine engine) {
        metrics.crashes.inc();
        RequestFingerprint fingerprint = request.fingerprint();
        Suspect suspect = admission.crashes().recordCrash(fingerprint.hex(), nowMillis());
        LOG.event("crash_suspect")
                .with("fingerprint", fingerprint.hex())
                .with("upstream", engine.name())
                .with("crashes", suspect.crashes())
                .warning();
        gossip.publish(fingerprint.hex(), suspect);
        if (suspect.crashes() >= SuspectTable.QUARANTINE_CRASHES) {
            schedule(0, () -> calls.stream()
                    .filter(other -> other != call && other.hasFingerprint(fingerprint))
                    .forEach(ChatCall::quarantine));
        }
    }

    /**
     * Records the crash of an engine that ran a stream which another router started. That router may have detected the
     * same crash and report it, so it is counted as a reported crash and not as a second one.
     */
    void recordCrashOfResumedStream(ChatRequest request) {
        metrics.crashes.inc();
        var unused = admission
                .crashes()
                .mergeRemoteCrashes(request.fingerprint().hex(), 1, SuspectTable.QUARANTINE_MILLIS, nowMillis());
    }

    /**
     * Lets a complete stream end normally, and closes its connection if the engine does not end it within a grace
     * period.
     */
    void closeAfterGrace(EngineStream stream) {
        stream.detach();
        if (!stream.isComplete()) {
            schedule(CLOSE_GRACE_MILLIS, () -> {
                if (!stream.isComplete()) {
                    stream.abort();
                }
            });
        }
    }

    /** Runs a task on the timer thread. */
    void schedule(long delayMillis, Runnable task) {
        if (!timer.isShutdown()) {
            var unused = timer.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** The calling thread's chooser. */
    EngineChooser chooser() {
        return choosers.get();
    }

    /** Calls that have not ended. */
    Set<ChatCall> calls() {
        return calls;
    }

    ScheduledExecutorService timer() {
        return timer;
    }

    /** Returns a number that no other request of this router's VM gets. */
    long nextNonce() {
        return Rendezvous.weight(nonceKey, nonceCounter.incrementAndGet());
    }

    long nowMillis() {
        return context.timers().monotonicMillis();
    }

    void close() {
        gossip.close();
        timer.shutdownNow();
        client.close();
    }
}
