package io.agatelane.node.config;

import io.agatelane.core.config.ConfigState;
import io.agatelane.core.config.ShardLayout;
import io.agatelane.core.config.command.ShardRetention;
import io.agatelane.core.config.query.RouterRanking;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.Member;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Deletes shard versions some time after they were replaced. All routers record the replaced versions, but only the
 * router that ranks first deletes them; when it is lost, the next one takes over. Runs on the control thread.
 */
final class ShardGarbageCollector {
    private static final EventLog LOG = EventLog.of(ShardGarbageCollector.class);
    private static final long COLLECT_PERIOD_MILLIS = 30_000;
    // The sweep finds versions of changes that were never committed, and versions whose replacement no router recorded.
    private static final long SWEEP_PERIOD_MILLIS = 3_600_000;

    private final NodeContext context;
    private final KeyValueStore store;
    private final MembershipView membership;
    private final ConfigReader reader;
    private final ShardRetention retention = new ShardRetention();
    private Subscription collectTimer = () -> {};
    private Subscription sweepTimer = () -> {};

    ShardGarbageCollector(NodeContext context, KeyValueStore store, MembershipView membership, ConfigReader reader) {
        this.context = context;
        this.store = store;
        this.membership = membership;
        this.reader = reader;
    }

    void start() {
        collectTimer = context.timers().every("config_collect", COLLECT_PERIOD_MILLIS, this::collect);
        sweepTimer = context.timers().every("config_sweep", SWEEP_PERIOD_MILLIS, this::sweep);
    }

    void close() {
        collectTimer.cancel();
        sweepTimer.cancel();
    }

    /** Records the versions that a new state no longer uses. */
    void recordReplaced(ConfigState before, ConfigState after) {
        retention.recordReplaced(before, after, context.timers().monotonicMillis());
    }

    private void collect() {
        List<String> expired = retention.takeExpired(context.timers().monotonicMillis());
        if (!isCollector()) {
            return;
        }
        for (String key : expired) {
            Futures.whenDone(store.get(key), context.control(), (found, failure) -> {
                if (failure == null) {
                    found.ifPresent(this::delete);
                }
            });
        }
    }

    private void sweep() {
        if (!isCollector()) {
            retention.skipSweep();
            return;
        }
        Futures.whenDone(store.list(ShardLayout.SHARD_PREFIX), context.control(), (values, failure) -> {
            if (failure == null) {
                Map<String, KeyValue> byKey = new HashMap<>();
                values.forEach(value -> byKey.put(value.key(), value));
                retention.sweep(reader.loaded().state(), byKey.keySet()).forEach(key -> delete(byKey.get(key)));
            }
        });
    }

    private void delete(KeyValue value) {
        CompletableFuture<Void> deletion = store.compareAndDelete(value.key(), value.revision());
        Futures.whenDone(deletion, context.control(), (unused, failure) -> {
            if (failure == null) {
                LOG.event("config_shard_deleted").with("key", value.key()).info();
            }
        });
    }

    private boolean isCollector() {
        List<String> names = membership.liveMembers().stream().map(Member::name).toList();
        return RouterRanking.ranked("config/collect", names, 1)
                .contains(context.settings().vmName());
    }
}
