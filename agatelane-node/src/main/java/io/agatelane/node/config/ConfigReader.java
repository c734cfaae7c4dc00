package io.agatelane.node.config;

import com.codahale.metrics.Counter;
import io.agatelane.core.config.ConfigState;
import io.agatelane.core.config.Head;
import io.agatelane.core.config.ShardLayout;
import io.agatelane.core.config.command.HeadRelation;
import io.agatelane.core.config.command.MonotonicConfig;
import io.agatelane.core.config.command.ShardAssembly;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.PeerTransport;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import io.agatelane.wire.peer.ConfigAnswer;
import io.agatelane.wire.peer.ConfigQuery;
import io.agatelane.wire.peer.PeerFrame;
import io.agatelane.wire.store.ConfigShard;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Updates the configuration of this router from the platform or from a peer; never to an older state.
 *
 * <p>All methods run on the control thread, and so do the continuations of their futures.
 */
final class ConfigReader {
    private static final EventLog LOG = EventLog.of(ConfigReader.class);
    // From this number of missing shards on, one listing of all shards costs less than a read of each.
    private static final int MIN_SHARDS_FOR_LISTING = 6;
    private static final int MAX_CONCURRENT_READS = 16;
    private static final long PEER_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_PEER_ROUNDS = ShardLayout.SHARDS + 1;

    private final NodeContext context;
    private final KeyValueStore store;
    private final PeerTransport peers;
    private final Counter refusedHeads;
    private final Counter platformReads;
    private final Counter peerReads;
    private final MonotonicConfig monotonicConfig = new MonotonicConfig();
    private Consumer<LoadedConfig> onAdvance = loaded -> {};
    private Consumer<KeyValue> onRegressed = head -> {};
    private LoadedConfig loaded = LoadedConfig.empty();

    ConfigReader(NodeContext context, KeyValueStore store, PeerTransport peers) {
        this.context = context;
        this.store = store;
        this.peers = peers;
        this.refusedHeads = context.metrics().counter("config.heads_refused");
        this.platformReads = context.metrics().counter("config.platform_reads");
        this.peerReads = context.metrics().counter("config.peer_reads");
    }

    /** Sets the listener for each new state. Must be called before anything is read. */
    void onAdvance(Consumer<LoadedConfig> listener) {
        onAdvance = listener;
    }

    /** Sets the listener for a head of the platform that is older than the state of this router. */
    void onRegressed(Consumer<KeyValue> listener) {
        onRegressed = listener;
    }

    LoadedConfig loaded() {
        return loaded;
    }

    long revision() {
        return loaded.revision();
    }

    /**
     * Reads the head from the platform and advances to it.
     *
     * @return the stored head with the revision of its key; revision 0 and no bytes when there is no head
     */
    CompletableFuture<KeyValue> readFromPlatform() {
        platformReads.inc();
        return store.get(ShardLayout.HEAD_KEY)
                .thenComposeAsync(
                        stored -> {
                            KeyValue head = stored.orElse(new KeyValue(ShardLayout.HEAD_KEY, new byte[0], 0));
                            return advanceTo(head).thenApply(unused -> head);
                        },
                        context.control());
    }

    /**
     * Advances to a head of the platform. Fails with {@code CONFIG_REGRESSED} when the head is older than the state of
     * this router, and with {@code CONFIG_DIVERGED} when it belongs to another history of changes.
     */
    CompletableFuture<Void> advanceTo(KeyValue headValue) {
        Head head = headValue.value().length == 0 ? Head.empty() : StoreCodec.decodeHead(headValue.value());
        HeadRelation relation = monotonicConfig.assess(head);
        return switch (relation) {
            case CURRENT -> CompletableFuture.completedFuture(null);
            case NEWER -> fetchFromPlatform(new MessageAssembly(head));
            case REGRESSED -> {
                logRefusedHead("config_head_regressed", head, "platform");
                onRegressed.accept(headValue);
                yield CompletableFuture.failedFuture(new AgatelaneException(
                                FailureType.CONFIG_REGRESSED,
                                "the platform holds revision " + head.revision() + ", which is older than revision "
                                        + revision() + " in force here")
                        .withLocation(ShardLayout.HEAD_KEY));
            }
            case DIVERGED -> {
                logRefusedHead("config_head_diverged", head, "platform");
                yield CompletableFuture.failedFuture(diverged(head));
            }
        };
    }

    /** Fetches the configuration that a peer has in force. Does nothing when it is not newer. */
    CompletableFuture<Void> fetchFromPeer(String vmName) {
        peerReads.inc();
        return queryPeer(vmName, new ArrayList<>(), 0);
    }

    /** Adopts a state that this router has just committed. */
    void adoptCommitted(ConfigState state, ConfigShard shard) {
        advance(state, List.of(shard));
    }

    private CompletableFuture<Void> queryPeer(String vmName, List<ConfigShard> fetched, int round) {
        List<Long> versions = new ArrayList<>(loaded.state().head().shardVersions());
        fetched.forEach(shard -> versions.set(shard.getIndex(), shard.getVersion()));
        PeerFrame query = PeerFrame.newBuilder()
                .setConfigQuery(
                        ConfigQuery.newBuilder().setKnownRevision(revision()).addAllKnownShardVersions(versions))
                .build();
        return peers.request(vmName, query, PEER_TIMEOUT_MILLIS)
                .thenComposeAsync(
                        frame -> handlePeerResponse(vmName, frame.getConfigAnswer(), fetched, round),
                        context.control());
    }

    private CompletableFuture<Void> handlePeerResponse(
            String vmName, ConfigAnswer response, List<ConfigShard> fetched, int round) {
        Head head = StoreCodec.decode(response.getHead());
        HeadRelation relation = monotonicConfig.assess(head);
        if (relation == HeadRelation.DIVERGED) {
            logRefusedHead("config_head_diverged", head, vmName);
            return CompletableFuture.failedFuture(diverged(head));
        }
        if (relation != HeadRelation.NEWER) {
            return CompletableFuture.completedFuture(null);
        }
        MessageAssembly assembly =
                new MessageAssembly(head.withOlderChanges(loaded.state().head()));
        fetched.forEach(assembly::offer);
        int before = assembly.messages.size();
        response.getShardsList().forEach(assembly::offer);
        if (assembly.shards.missing().isEmpty()) {
            assembly.finish();
            return CompletableFuture.completedFuture(null);
        }
        // A large configuration arrives in several responses; a response without a usable shard ends the exchange.
        if (assembly.messages.size() == before || round >= MAX_PEER_ROUNDS) {
            return fetchFromPlatform(assembly);
        }
        return queryPeer(vmName, new ArrayList<>(assembly.messages.values()), round + 1);
    }

    private CompletableFuture<Void> fetchFromPlatform(MessageAssembly assembly) {
        List<Integer> missing = assembly.shards.missing();
        if (missing.size() < MIN_SHARDS_FOR_LISTING) {
            return readEach(assembly, missing);
        }
        // A listing also contains replaced versions; after many changes within minutes it can be too large for one
        // response.
        return Futures.compose(store.list(ShardLayout.SHARD_PREFIX), context.control(), (values, failure) -> {
            if (failure == null) {
                assembly.offerAll(values);
            }
            return readEach(assembly, assembly.shards.missing());
        });
    }

    private CompletableFuture<Void> readEach(MessageAssembly assembly, List<Integer> indices) {
        if (indices.isEmpty()) {
            return finish(assembly);
        }
        List<Integer> batch = indices.subList(0, Math.min(MAX_CONCURRENT_READS, indices.size()));
        return Futures.compose(read(assembly.shards.head(), batch), context.control(), (values, failure) -> {
            if (failure != null) {
                return CompletableFuture.failedFuture(failure);
            }
            assembly.offerAll(values);
            return readEach(assembly, indices.subList(batch.size(), indices.size()));
        });
    }

    private CompletableFuture<Void> finish(MessageAssembly assembly) {
        List<Integer> missing = assembly.shards.missing();
        if (!missing.isEmpty()) {
            return CompletableFuture.failedFuture(new AgatelaneException(
                            FailureType.PLATFORM_UNAVAILABLE,
                            "shards " + missing + " of revision "
                                    + assembly.shards.head().revision() + " are missing or damaged")
                    .withLocation(ShardLayout.SHARD_PREFIX));
        }
        assembly.finish();
        return CompletableFuture.completedFuture(null);
    }

    private CompletableFuture<List<KeyValue>> read(Head head, List<Integer> indices) {
        List<KeyValue> values = new ArrayList<>();
        List<CompletableFuture<Void>> reads = new ArrayList<>();
        for (int index : indices) {
            String key = ShardLayout.shardKey(index, head.shardVersions().get(index));
            reads.add(store.get(key).thenAcceptAsync(value -> value.ifPresent(values::add), context.control()));
        }
        return CompletableFuture.allOf(reads.toArray(new CompletableFuture<?>[0]))
                .thenApply(unused -> values);
    }

    private void advance(ConfigState state, List<ConfigShard> messages) {
        if (monotonicConfig.advance(state)) {
            loaded = loaded.with(state, messages);
            onAdvance.accept(loaded);
        }
    }

    private void logRefusedHead(String event, Head head, String source) {
        refusedHeads.inc();
        LOG.event(event)
                .with("source", source)
                .with("held_revision", revision())
                .with("head_revision", head.revision())
                .warning();
    }

    private AgatelaneException diverged(Head head) {
        return new AgatelaneException(
                        FailureType.CONFIG_DIVERGED,
                        "the head at revision " + head.revision() + " does not continue revision " + revision()
                                + " in force here")
                .withLocation(ShardLayout.HEAD_KEY);
    }

    /** Collects the shards of one head, both as stored messages and as decoded values. */
    private final class MessageAssembly {
        private final ShardAssembly shards;
        private final Map<Integer, ConfigShard> messages = new HashMap<>();

        private MessageAssembly(Head head) {
            this.shards = new ShardAssembly(loaded.state(), head);
        }

        private void offer(ConfigShard message) {
            if (shards.offer(StoreCodec.decode(message), StoreCodec.checksum(message))) {
                messages.put(message.getIndex(), message);
            }
        }

        private void offerAll(List<KeyValue> values) {
            Map<String, KeyValue> byKey = new HashMap<>();
            values.forEach(value -> byKey.put(value.key(), value));
            for (int index : shards.missing()) {
                String key = ShardLayout.shardKey(
                        index, shards.head().shardVersions().get(index));
                KeyValue value = byKey.get(key);
                if (value == null) {
                    continue;
                }
                ConfigShard message = StoreCodec.decodeShard(key, value.value());
                if (shards.offer(StoreCodec.decode(message), ShardLayout.checksum(value.value()))) {
                    messages.put(index, message);
                } else {
                    LOG.event("config_shard_damaged").with("key", key).warning();
                }
            }
        }

        private void finish() {
            advance(shards.result(), List.copyOf(messages.values()));
        }
    }
}
