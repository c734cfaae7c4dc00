package io.agatelane.node.config;

import io.agatelane.core.config.ConfigState;
import io.agatelane.core.config.Head;
import io.agatelane.core.config.ShardLayout;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import io.agatelane.wire.store.ConfigShard;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Writes the newest configuration back to a platform that was restored to an older state. Without this, the next change
 * would continue the older state and undo accepted changes. Runs on the control thread.
 */
final class HeadRepair {
    private static final EventLog LOG = EventLog.of(HeadRepair.class);

    private final NodeContext context;
    private final KeyValueStore store;
    private final MembershipView membership;
    private final ConfigReader reader;
    private boolean repairRunning;

    HeadRepair(NodeContext context, KeyValueStore store, MembershipView membership, ConfigReader reader) {
        this.context = context;
        this.store = store;
        this.membership = membership;
        this.reader = reader;
    }

    /** Replaces a head that is older than the state of this router, unless another router has a newer state. */
    void repair(KeyValue regressedHead) {
        LoadedConfig loaded = reader.loaded();
        boolean newerElsewhere =
                membership.liveMembers().stream().anyMatch(member -> member.configRevision() > loaded.revision());
        if (repairRunning || newerElsewhere) {
            return;
        }
        repairRunning = true;
        byte[] head = StoreCodec.encode(loaded.state().head()).toByteArray();
        CompletableFuture<Long> written = writeShards(loaded, regressedHead)
                .thenCompose(unused -> store.compareAndSet(ShardLayout.HEAD_KEY, regressedHead.revision(), head));
        Futures.whenDone(written, context.control(), (revision, failure) -> {
            repairRunning = false;
            if (failure == null) {
                LOG.event("config_head_written_back")
                        .with("revision", loaded.revision())
                        .info();
            } else {
                LOG.event("config_head_not_written_back")
                        .with("cause", failure.getMessage())
                        .warning();
            }
        });
    }

    // The restored platform contains the shards that its own head lists; all others may be missing.
    private CompletableFuture<Void> writeShards(LoadedConfig loaded, KeyValue regressedHead) {
        Head regressed = StoreCodec.decodeHead(regressedHead.value());
        List<CompletableFuture<Void>> writes = new ArrayList<>();
        ConfigState state = loaded.state();
        for (ConfigShard message : loaded.messages()) {
            int index = message.getIndex();
            if (message.getVersion() == 0
                    || message.getVersion() == regressed.shardVersions().get(index)) {
                continue;
            }
            byte[] bytes = message.toByteArray();
            if (ShardLayout.checksum(bytes) != state.head().shardChecksums().get(index)) {
                return CompletableFuture.failedFuture(new AgatelaneException(
                        FailureType.INTERNAL, "shard " + index + " does not match its checksum"));
            }
            writes.add(writeShard(ShardLayout.shardKey(index, message.getVersion()), bytes));
        }
        return CompletableFuture.allOf(writes.toArray(new CompletableFuture<?>[0]));
    }

    // If the key already exists, it has the same bytes, because a shard version is never written with other content.
    private CompletableFuture<Void> writeShard(String key, byte[] bytes) {
        return store.compareAndSet(key, 0, bytes).<Void>handle((revision, failure) -> {
            if (failure != null && AgatelaneException.from(failure).type() != FailureType.SWAP_LOST) {
                throw AgatelaneException.from(failure);
            }
            return null;
        });
    }
}
