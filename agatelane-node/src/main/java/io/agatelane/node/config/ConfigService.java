package io.agatelane.node.config;

import io.agatelane.core.config.ConfigState;
import io.agatelane.core.config.ObjectKey;
import io.agatelane.core.config.ObjectKind;
import io.agatelane.core.config.ShardLayout;
import io.agatelane.core.config.command.ChangeRequest;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.hash.Rendezvous;
import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.node.api.ConfigView;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.PeerTransport;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import io.agatelane.wire.operator.ApplyRequest;
import io.agatelane.wire.operator.ApplyResponse;
import io.agatelane.wire.operator.ConfigObject;
import io.agatelane.wire.operator.DeleteRequest;
import io.agatelane.wire.operator.DeleteResponse;
import io.agatelane.wire.operator.GetRequest;
import io.agatelane.wire.operator.GetResponse;
import io.agatelane.wire.operator.ListRequest;
import io.agatelane.wire.operator.ListResponse;
import io.agatelane.wire.operator.SetDrainingRequest;
import io.agatelane.wire.operator.SetDrainingResponse;
import io.agatelane.wire.operator.UpstreamSpec;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;

/** Serves the configuration of this router and the calls that change it. The methods may be called on any thread. */
public final class ConfigService implements ConfigView, AutoCloseable {
    private static final EventLog LOG = EventLog.of(ConfigService.class);

    private final NodeContext context;
    private final ConfigReader reader;
    private final ConfigWriter writer;
    private final ConfigSynchronizer synchronizer;
    private final RevisionWaitController revisionWaits;
    private final ShardGarbageCollector garbageCollector;
    private final List<Consumer<ConfigSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private volatile ConfigSnapshot snapshot = ConfigSnapshot.empty();
    private volatile LoadedConfig loaded = LoadedConfig.empty();

    /** Creates the service. Nothing is read before {@link #start}. */
    public ConfigService(NodeContext context, KeyValueStore store, MembershipView membership, PeerTransport peers) {
        this.context = context;
        this.reader = new ConfigReader(context, store, peers);
        // Without the name, routers with the same configured seed would choose the same shard keys.
        long seed = context.settings().randomSeed()
                ^ Rendezvous.hash(context.settings().vmName())
                ^ context.incarnation();
        this.writer =
                new ConfigWriter(context, store, membership, reader, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
        this.synchronizer = new ConfigSynchronizer(context, store, membership, peers, reader);
        this.revisionWaits = new RevisionWaitController(context, membership, peers, reader);
        this.garbageCollector = new ShardGarbageCollector(context, store, membership, reader);
        context.metrics().gauge("config.revision", () -> () -> snapshot.revision());
        reader.onAdvance(this::adopt);
        reader.onRegressed(new HeadRepair(context, store, membership, reader)::repair);
    }

    /**
     * Starts reading. The result completes with the first snapshot that was read, or after a bounded wait with the
     * snapshot in force at that time; reading then continues in the background.
     */
    public CompletableFuture<ConfigSnapshot> start() {
        CompletableFuture<ConfigSnapshot> result = new CompletableFuture<>();
        context.control().execute(() -> {
            revisionWaits.start();
            garbageCollector.start();
            Futures.whenDone(synchronizer.start(), Runnable::run, (unused, failure) -> result.complete(snapshot));
        });
        return result;
    }

    @Override
    public void close() {
        synchronizer.close();
        revisionWaits.close();
        garbageCollector.close();
    }

    @Override
    public ConfigSnapshot current() {
        return snapshot;
    }

    @Override
    public Subscription onChange(Consumer<ConfigSnapshot> listener) {
        listeners.add(listener);
        return () -> listeners.remove(listener);
    }

    @Override
    public void revisionAnnounced(String vmName, long revision) {
        if (revision > snapshot.revision()) {
            context.control().execute(() -> synchronizer.revisionAnnounced(vmName, revision));
        }
    }

    /**
     * Returns one object.
     *
     * @throws AgatelaneException with {@code NOT_FOUND} or {@code INVALID_OBJECT}
     */
    public GetResponse get(GetRequest request) {
        ObjectKey key = ObjectCodec.key(request.getKind(), request.getName());
        ConfigObject object = find(loaded, key)
                .orElseThrow(() -> new AgatelaneException(FailureType.NOT_FOUND, key + " does not exist"));
        return GetResponse.newBuilder().setObject(object).build();
    }

    /**
     * Returns all objects of a kind in name order.
     *
     * @throws AgatelaneException with {@code INVALID_OBJECT} when the kind is not set or not known
     */
    public ListResponse list(ListRequest request) {
        ObjectKind kind = ObjectCodec.kind(request.getKind());
        LoadedConfig current = loaded;
        ListResponse.Builder response = ListResponse.newBuilder().setRevision(current.revision());
        current.messages().stream()
                .flatMap(shard -> shard.getObjectsList().stream())
                .filter(object -> object.getSpecCase() != ConfigObject.SpecCase.SPEC_NOT_SET)
                .filter(object -> ObjectCodec.key(object).kind() == kind)
                .sorted(Comparator.comparing(ConfigObject::getName))
                .forEach(response::addObjects);
        return response.build();
    }

    /** Creates or replaces an object. */
    public CompletableFuture<ApplyResponse> apply(ApplyRequest request) {
        return Futures.callOn(context.control(), () -> {
            ConfigObject object = request.getObject();
            ChangeRequest change = new ChangeRequest(
                    request.getChangeId(),
                    ObjectCodec.key(object),
                    Optional.of(ObjectCodec.value(object)),
                    validExpectedVersion(request.getExpectedVersion()));
            requireValidWait(request.getWaitMillis());
            return writer.change(state -> new ConfigWriter.EvaluatedEdit(change, object))
                    .thenCompose(revision -> revisionWaits
                            .await(revision, request.getWaitMillis())
                            .thenApply(inForceEverywhere -> ApplyResponse.newBuilder()
                                    .setRevision(revision)
                                    .setInForceEverywhere(inForceEverywhere)
                                    .build()));
        });
    }

    /** Deletes an object. */
    public CompletableFuture<DeleteResponse> delete(DeleteRequest request) {
        return Futures.callOn(context.control(), () -> {
            ChangeRequest change = new ChangeRequest(
                    request.getChangeId(),
                    ObjectCodec.key(request.getKind(), request.getName()),
                    Optional.empty(),
                    validExpectedVersion(request.getExpectedVersion()));
            requireValidWait(request.getWaitMillis());
            return writer.change(state -> new ConfigWriter.EvaluatedEdit(change, null))
                    .thenCompose(revision -> revisionWaits
                            .await(revision, request.getWaitMillis())
                            .thenApply(inForceEverywhere -> DeleteResponse.newBuilder()
                                    .setRevision(revision)
                                    .setInForceEverywhere(inForceEverywhere)
                                    .build()));
        });
    }

    /** Marks an upstream as draining or as back in service; keeps all other fields. */
    public CompletableFuture<SetDrainingResponse> setDraining(SetDrainingRequest request) {
        ObjectKey key = new ObjectKey(ObjectKind.UPSTREAM, request.getUpstream());
        return Futures.callOn(context.control(), () -> writer.change(state -> drainingEdit(request, key))
                .thenApply(revision ->
                        SetDrainingResponse.newBuilder().setRevision(revision).build()));
    }

    private ConfigWriter.EvaluatedEdit drainingEdit(SetDrainingRequest request, ObjectKey key) {
        ConfigObject object = find(reader.loaded(), key)
                .orElseThrow(() -> new AgatelaneException(FailureType.NOT_FOUND, key + " does not exist"));
        UpstreamSpec spec = object.getUpstream().toBuilder()
                .setDraining(request.getDraining())
                .build();
        ConfigObject changed = object.toBuilder().setUpstream(spec).build();
        ChangeRequest change = new ChangeRequest(
                request.getChangeId(), key, Optional.of(ObjectCodec.value(changed)), object.getVersion());
        return new ConfigWriter.EvaluatedEdit(change, changed);
    }

    private void adopt(LoadedConfig newConfig) {
        ConfigState before = loaded.state();
        ConfigSnapshot newSnapshot = newConfig.state().snapshot();
        loaded = newConfig;
        snapshot = newSnapshot;
        garbageCollector.recordReplaced(before, newConfig.state());
        revisionWaits.check();
        for (Consumer<ConfigSnapshot> listener : listeners) {
            try {
                listener.accept(newSnapshot);
            } catch (RuntimeException e) {
                // The change is committed; a listener that throws must not make it look failed.
                LOG.event("config_listener_failed")
                        .with("revision", newSnapshot.revision())
                        .error(e);
            }
        }
    }

    private static Optional<ConfigObject> find(LoadedConfig config, ObjectKey key) {
        return config.messages().get(ShardLayout.shardOf(key)).getObjectsList().stream()
                .filter(object -> object.getSpecCase() != ConfigObject.SpecCase.SPEC_NOT_SET)
                .filter(object -> ObjectCodec.key(object).equals(key))
                .findFirst();
    }

    private static long validExpectedVersion(long version) {
        if (version < ChangeRequest.ANY_VERSION) {
            throw new AgatelaneException(
                            FailureType.INVALID_OBJECT, "expected a version, 0 for a new object, or -1 for any version")
                    .withLocation("/expected_version");
        }
        return version;
    }

    private static void requireValidWait(int waitMillis) {
        if (waitMillis < 0) {
            throw new AgatelaneException(FailureType.INVALID_OBJECT, "expected a time of 0 or more")
                    .withLocation("/wait_millis");
        }
    }
}
