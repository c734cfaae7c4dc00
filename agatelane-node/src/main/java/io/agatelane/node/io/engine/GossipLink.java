package io.agatelane.node.io.engine;

import com.google.protobuf.ByteString;
import io.agatelane.core.limits.command.AccountLimiter;
import io.agatelane.core.poison.SuspectTable;
import io.agatelane.core.poison.SuspectTable.Suspect;
import io.agatelane.core.routing.LoadReport;
import io.agatelane.core.routing.UpstreamState;
import io.agatelane.node.api.GossipHintExchange;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.util.EventLog;
import io.agatelane.wire.peer.AccountUsage;
import io.agatelane.wire.peer.Quarantine;
import io.agatelane.wire.peer.UpstreamDigest;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;

/** Exchanges state with other routers by gossip: demand of accounts, crashes, and the state of engines. */
final class GossipLink {
    private static final EventLog LOG = EventLog.of(GossipLink.class);
    private static final int USAGE_PERIOD_MILLIS = 500;
    // Routers from which nothing was received for this long are not counted.
    private static final long ROUTER_EXPIRY_MILLIS = 5_000;
    private static final long DIGEST_PERIOD_MILLIS = 1_000;
    // Bounds the bytes of upstream digests: about 40 bytes each, at most 2 KB/s before gossip spreads them.
    private static final int DIGESTS_PER_SECOND = 50;
    // A digest is about this old when it arrives: one poll and one gossip period.
    private static final long TYPICAL_DIGEST_AGE_MILLIS = 500;

    private final NodeContext context;
    private final GossipHintExchange hintExchange;
    private final EngineTable table;
    private final Admission admission;
    private final Map<String, Long> lastReceivedMillisByVm = new HashMap<>();
    private final Map<String, Published> published = new HashMap<>();
    private volatile int routers = 1;
    private long sequence;
    private long windowStartMillis;
    private int digestsInWindow;
    private Subscription timer = () -> {};

    /** What was last published about an engine. */
    private record Published(long millis, boolean draining, boolean probation) {}

    GossipLink(NodeContext context, GossipHintExchange hintExchange, EngineTable table, Admission admission) {
        this.context = context;
        this.hintExchange = hintExchange;
        this.table = table;
        this.admission = admission;
        // Sequence numbers of a restarted router are above those of its previous incarnation.
        this.sequence = context.incarnation() << 20;
    }

    void start() {
        hintExchange.onAccountUsage(usage -> context.control().execute(() -> receive(usage)));
        hintExchange.onQuarantine(quarantine -> context.control().execute(() -> receive(quarantine)));
        hintExchange.onUpstreamDigest(digest -> context.control().execute(() -> receive(digest)));
        timer = context.timers().every("account-usage", USAGE_PERIOD_MILLIS, this::publishUsages);
    }

    void close() {
        timer.cancel();
    }

    /** Number of routers of this region from which gossip was received recently, including this one. */
    int routers() {
        return routers;
    }

    /** Publishes the crashes recorded for a request fingerprint to the other routers. Thread-safe. */
    void publish(String fingerprint, Suspect suspect) {
        // Below the quarantine threshold, each router reports only the crashes that it detected itself, so that
        // receivers can add them up.
        int crashes = suspect.crashes() >= SuspectTable.QUARANTINE_CRASHES ? suspect.crashes() : suspect.localCrashes();
        Quarantine message = Quarantine.newBuilder()
                .setFingerprint(ByteString.copyFrom(HexFormat.of().parseHex(fingerprint)))
                .setCrashes(crashes)
                .setRemainingMillis(suspect.expiresMillis() - context.timers().monotonicMillis())
                .build();
        context.control().execute(() -> hintExchange.publish(message));
    }

    /**
     * Publishes the state of an engine that just reported its load to the routers of this zone. Runs on the control
     * thread.
     */
    void publishReport(Engine engine) {
        UpstreamState state = engine.state();
        LoadReport report = state.report();
        long nowMillis = context.timers().monotonicMillis();
        // Marks received from peers are not passed on, only the report and the configuration; otherwise two routers
        // could keep a stale mark alive.
        boolean draining = report.draining() || engine.upstream().draining();
        Published last = published.get(engine.name());
        boolean changed = last == null || last.draining() != draining || last.probation() != state.probation();
        if (!changed && nowMillis - last.millis() < DIGEST_PERIOD_MILLIS) {
            return;
        }
        if (!tryAcquireDigest(nowMillis) && !changed) {
            return;
        }
        published.put(engine.name(), new Published(nowMillis, draining, state.probation()));
        hintExchange.publish(UpstreamDigest.newBuilder()
                .setUpstream(engine.name())
                .setIncarnation(report.incarnation())
                .setRunning(report.running())
                .setWaiting(report.waiting())
                .setProbation(state.probation())
                .setDraining(draining)
                .setSequence(++sequence)
                .build());
    }

    private boolean tryAcquireDigest(long nowMillis) {
        if (nowMillis - windowStartMillis >= 1_000) {
            windowStartMillis = nowMillis;
            digestsInWindow = 0;
        }
        return ++digestsInWindow <= DIGESTS_PER_SECOND;
    }

    private void publishUsages() {
        long nowMillis = context.timers().monotonicMillis();
        lastReceivedMillisByVm.values().removeIf(receivedMillis -> nowMillis - receivedMillis > ROUTER_EXPIRY_MILLIS);
        routers = lastReceivedMillisByVm.size() + 1;
        for (AccountLimiter.Demand demand : admission.limiter().demands(nowMillis)) {
            hintExchange.publish(AccountUsage.newBuilder()
                    .setClientAccount(demand.account())
                    .setVm(context.settings().vmName())
                    .setDemandTokensPerSecond(demand.tokensPerSecond())
                    .setSequence(++sequence)
                    .build());
        }
    }

    private void receive(AccountUsage usage) {
        if (usage.getVm().equals(context.settings().vmName())) {
            return;
        }
        long nowMillis = context.timers().monotonicMillis();
        lastReceivedMillisByVm.put(usage.getVm(), nowMillis);
        routers = lastReceivedMillisByVm.size() + 1;
        admission
                .limiter()
                .recordPeerDemand(
                        usage.getClientAccount(),
                        usage.getVm(),
                        usage.getDemandTokensPerSecond(),
                        usage.getSequence(),
                        nowMillis);
    }

    private void receive(Quarantine quarantine) {
        String fingerprint =
                HexFormat.of().formatHex(quarantine.getFingerprint().toByteArray());
        long nowMillis = context.timers().monotonicMillis();
        boolean mustForward = admission
                .crashes()
                .mergeRemoteCrashes(fingerprint, quarantine.getCrashes(), quarantine.getRemainingMillis(), nowMillis);
        if (mustForward) {
            publish(
                    fingerprint,
                    new Suspect(
                            SuspectTable.QUARANTINE_CRASHES,
                            0,
                            nowMillis,
                            nowMillis + quarantine.getRemainingMillis()));
        }
    }

    private void receive(UpstreamDigest digest) {
        Engine engine = table.engine(digest.getUpstream()).orElse(null);
        LoadReport report = engine == null ? null : engine.state().report();
        if (report == null || !report.incarnation().equals(digest.getIncarnation())) {
            return;
        }
        long nowMillis = context.timers().monotonicMillis();
        if (digest.getDraining()) {
            boolean firstMark = !engine.state().drainingByPeer();
            engine.state().setDrainingByPeer(true, nowMillis);
            if (firstMark) {
                LOG.event("engine_leaving")
                        .with("upstream", engine.name())
                        .with("source", "peer")
                        .info();
                table.rebuildFleets();
            }
        }
        long digestMeasuredMillis = nowMillis - TYPICAL_DIGEST_AGE_MILLIS;
        if (digestMeasuredMillis > report.measuredAtMillis()) {
            engine.state().setReport(report.withCounts(digest.getRunning(), digest.getWaiting(), digestMeasuredMillis));
        }
    }
}
