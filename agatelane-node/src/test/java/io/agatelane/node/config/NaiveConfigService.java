package io.agatelane.node.config;

import com.google.protobuf.InvalidProtocolBufferException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.util.Futures;
import io.agatelane.wire.operator.ApplyRequest;
import io.agatelane.wire.operator.ApplyResponse;
import io.agatelane.wire.operator.ConfigObject;
import io.agatelane.wire.store.ConfigShard;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A service without protection, on which the checks must fail: it stores the whole configuration in one value, the last
 * writer wins, and readers adopt whatever they read.
 */
final class NaiveConfigService implements ConfigCluster.Router {
    private static final String KEY = "naive/config";

    private final NodeContext context;
    private final KeyValueStore store;
    private ConfigShard content = ConfigShard.getDefaultInstance();

    NaiveConfigService(NodeContext context, KeyValueStore store) {
        this.context = context;
        this.store = store;
    }

    @Override
    public CompletableFuture<?> start() {
        store.watch(KEY, value -> content = parse(value));
        return store.get(KEY).thenAccept(value -> value.ifPresent(found -> content = parse(found)));
    }

    @Override
    public CompletableFuture<ApplyResponse> apply(ApplyRequest request) {
        return store.get(KEY).thenCompose(found -> {
            ConfigShard base = found.map(NaiveConfigService::parse).orElse(ConfigShard.getDefaultInstance());
            ConfigShard.Builder changed = ConfigShard.newBuilder().setVersion(base.getVersion() + 1);
            base.getObjectsList().stream()
                    .filter(object ->
                            !object.getName().equals(request.getObject().getName()))
                    .forEach(changed::addObjects);
            changed.addObjects(request.getObject());
            return overwrite(changed.build());
        });
    }

    private CompletableFuture<ApplyResponse> overwrite(ConfigShard value) {
        CompletableFuture<Long> write = store.get(KEY)
                .thenCompose(found ->
                        store.compareAndSet(KEY, found.map(KeyValue::revision).orElse(0L), value.toByteArray()));
        return Futures.compose(write, context.control(), (revision, failure) -> {
            if (failure != null && failure.type() == FailureType.SWAP_LOST) {
                return overwrite(value);
            }
            return failure == null
                    ? CompletableFuture.completedFuture(ApplyResponse.newBuilder()
                            .setRevision(value.getVersion())
                            .build())
                    : CompletableFuture.failedFuture(failure);
        });
    }

    @Override
    public long revision() {
        return content.getVersion();
    }

    @Override
    public Optional<ConfigObject> policy(String name) {
        return content.getObjectsList().stream()
                .filter(object -> object.getName().equals(name))
                .findFirst();
    }

    @Override
    public void announced(String vmName, long revision) {
        // This service reacts only to its watch.
    }

    @Override
    public void close() {
        context.control().execute(() -> content = ConfigShard.getDefaultInstance());
    }

    private static ConfigShard parse(KeyValue value) {
        try {
            return ConfigShard.parseFrom(value.value());
        } catch (InvalidProtocolBufferException e) {
            throw new AssertionError(e);
        }
    }
}
