package io.agatelane.core.config;

import io.agatelane.core.model.ClientAccount;
import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.model.Model;
import io.agatelane.core.model.RoutingPolicy;
import io.agatelane.core.model.Service;
import io.agatelane.core.model.Upstream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Complete configuration at one revision: a head with all shards that it lists. */
public final class ConfigState {
    private final Head head;
    private final List<Shard> shards;

    private ConfigState(Head head, List<Shard> shards) {
        this.head = head;
        this.shards = List.copyOf(shards);
    }

    /** Returns the empty configuration at revision 0. */
    public static ConfigState empty() {
        return new ConfigState(
                Head.empty(),
                IntStream.range(0, ShardLayout.SHARDS).mapToObj(Shard::empty).toList());
    }

    public Head head() {
        return head;
    }

    public long revision() {
        return head.revision();
    }

    /** Returns the shards in index order. */
    public List<Shard> shards() {
        return shards;
    }

    public Shard shard(int index) {
        return shards.get(index);
    }

    /** Returns the object with the given key, if it exists. */
    public Optional<StoredObject> find(ObjectKey key) {
        return shards.get(ShardLayout.shardOf(key)).find(key);
    }

    /** Returns all objects, in no particular order. */
    public Stream<StoredObject> objects() {
        return shards.stream().flatMap(shard -> shard.objects().stream());
    }

    /** Returns all objects of a kind in name order. */
    public List<StoredObject> objects(ObjectKind kind) {
        return objects()
                .filter(object -> object.key().kind() == kind)
                .sorted((a, b) -> a.key().compareTo(b.key()))
                .toList();
    }

    /** Returns the indices of the shards whose version in the given head differs from the one in this state. */
    public List<Integer> missingShards(Head newHead) {
        return IntStream.range(0, ShardLayout.SHARDS)
                .filter(i -> newHead.shardVersions().get(i) != shards.get(i).version())
                .boxed()
                .toList();
    }

    /**
     * Returns the state at a new head.
     *
     * @param changed the shards that the new head lists and that this state does not contain
     * @throws IllegalArgumentException when a shard of the head is missing
     */
    public ConfigState advance(Head newHead, Collection<Shard> changed) {
        List<Shard> newShards = new ArrayList<>(shards);
        for (int i = 0; i < ShardLayout.SHARDS; i++) {
            if (newHead.shardVersions().get(i) == 0) {
                newShards.set(i, Shard.empty(i));
            }
        }
        for (Shard shard : changed) {
            newShards.set(shard.index(), shard);
        }
        ConfigState next = new ConfigState(newHead, newShards);
        List<Integer> missing = next.missingShards(newHead);
        if (!missing.isEmpty()) {
            throw new IllegalArgumentException(
                    "shards " + missing + " of revision " + newHead.revision() + " are missing");
        }
        return next;
    }

    /** Returns the immutable snapshot that the router's traffic threads read. */
    public ConfigSnapshot snapshot() {
        ConfigSnapshot.Builder builder = ConfigSnapshot.builder().revision(head.revision());
        objects().forEach(object -> add(builder, object));
        return builder.build();
    }

    private static void add(ConfigSnapshot.Builder builder, StoredObject object) {
        Record value = object.value();
        switch (object.key().kind()) {
            case CLIENT_ACCOUNT -> builder.add((ClientAccount) value);
            case MODEL -> builder.add((Model) value);
            case ROUTING_POLICY -> builder.add((RoutingPolicy) value);
            case SERVICE -> builder.add((Service) value);
            case UPSTREAM -> builder.add((Upstream) value);
            default -> throw new IllegalArgumentException("unknown kind " + object.key());
        }
    }
}
