package io.agatelane.lab.capacity;

import io.agatelane.core.config.Change;
import io.agatelane.core.config.ConfigState;
import io.agatelane.core.config.Head;
import io.agatelane.core.config.ObjectKey;
import io.agatelane.core.config.ObjectKind;
import io.agatelane.core.config.Shard;
import io.agatelane.core.config.ShardLayout;
import io.agatelane.core.config.StoredObject;
import io.agatelane.core.model.ClientAccount;
import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.model.Upstream;
import io.agatelane.lab.experiment.Table;
import io.agatelane.wire.operator.ClientAccountSpec;
import io.agatelane.wire.operator.ConfigObject;
import io.agatelane.wire.operator.UpstreamSpec;
import java.util.ArrayList;
import java.util.List;

/** Measures size and build time of the configuration by the number of client accounts and upstreams. */
final class ConfigGrowth {
    private static final int[] ACCOUNT_COUNTS = {1_000, 4_000, 13_000};
    private static final int[] UPSTREAM_COUNTS = {550, 2_200, 7_200};
    private static final int SNAPSHOT_BUILDS = 30;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final int MODELS = 7;
    private static final int ZONES = 22;

    private ConfigGrowth() {}

    static String run() {
        Table table = new Table(
                "accounts", "upstreams", "all shards, bytes", "largest shard, bytes", "heap, bytes", "snapshot, ms");
        for (int i = 0; i < ACCOUNT_COUNTS.length; i++) {
            int accounts = ACCOUNT_COUNTS[i];
            int upstreams = UPSTREAM_COUNTS[i];
            Heap.Measured<LoadedConfig> loaded = Heap.measure(() -> load(accounts, upstreams));
            ConfigState state = loaded.value().state;
            double buildMicros = Timing.micros(SNAPSHOT_BUILDS, unused -> state.snapshot());
            table.row(
                    accounts,
                    upstreams,
                    state.shards().stream().mapToLong(ConfigGrowth::wireBytes).sum(),
                    state.shards().stream()
                            .mapToLong(ConfigGrowth::wireBytes)
                            .max()
                            .orElse(0),
                    loaded.bytes(),
                    buildMicros / MICROS_PER_MILLI);
        }
        return table.toString();
    }

    private static LoadedConfig load(int accounts, int upstreams) {
        List<List<StoredObject>> objects = new ArrayList<>();
        for (int i = 0; i < ShardLayout.SHARDS; i++) {
            objects.add(new ArrayList<>());
        }
        for (int i = 0; i < accounts; i++) {
            ClientAccount account = new ClientAccount(
                    "account-" + i, List.of(String.format("%064x", i)), 10_000, 100_000, 1, "standard");
            add(objects, new ObjectKey(ObjectKind.CLIENT_ACCOUNT, account.name()), account);
        }
        for (int i = 0; i < upstreams; i++) {
            Upstream upstream = new Upstream(
                    "engine-" + i,
                    "http://10.0." + i / 250 + "." + i % 250 + ":8000",
                    "zone-" + i % ZONES,
                    List.of("model-" + i % MODELS),
                    "",
                    16,
                    true,
                    false);
            add(objects, new ObjectKey(ObjectKind.UPSTREAM, upstream.name()), upstream);
        }
        Head head = Head.empty();
        List<Shard> shards = new ArrayList<>();
        for (int i = 0; i < ShardLayout.SHARDS; i++) {
            StoredObject first = objects.get(i).get(0);
            Change change = new Change("change-" + i, i + 1, first.key());
            head = head.withChange(change, i, i + 1, i);
            shards.add(new Shard(i, i + 1, objects.get(i)));
        }
        ConfigState state = ConfigState.empty().advance(head, shards);
        return new LoadedConfig(state, state.snapshot());
    }

    private static void add(List<List<StoredObject>> objects, ObjectKey key, Record value) {
        objects.get(ShardLayout.shardOf(key)).add(new StoredObject(key, 1, value));
    }

    private static long wireBytes(Shard shard) {
        return shard.objects().stream()
                .mapToLong(object -> toWire(object).getSerializedSize() + 3)
                .sum();
    }

    private static ConfigObject toWire(StoredObject object) {
        ConfigObject.Builder builder =
                ConfigObject.newBuilder().setName(object.key().name()).setVersion(object.version());
        if (object.value() instanceof ClientAccount account) {
            return builder.setClientAccount(ClientAccountSpec.newBuilder()
                            .addAllApiKeySha256(account.apiKeySha256())
                            .setTokensPerSecond(account.tokensPerSecond())
                            .setBurstTokens(account.burstTokens())
                            .setWeight(account.weight())
                            .setRoutingPolicy(account.routingPolicy()))
                    .build();
        }
        Upstream upstream = (Upstream) object.value();
        return builder.setUpstream(UpstreamSpec.newBuilder()
                        .setBaseUrl(upstream.baseUrl())
                        .setAvailabilityZone(upstream.availabilityZone())
                        .addAllModels(upstream.models())
                        .setSlots(upstream.slots())
                        .setChecksFencing(upstream.checksFencing()))
                .build();
    }

    private record LoadedConfig(ConfigState state, ConfigSnapshot snapshot) {}
}
