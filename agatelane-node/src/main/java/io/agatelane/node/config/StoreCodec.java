package io.agatelane.node.config;

import com.google.protobuf.InvalidProtocolBufferException;
import io.agatelane.core.config.Change;
import io.agatelane.core.config.Head;
import io.agatelane.core.config.ObjectKey;
import io.agatelane.core.config.Shard;
import io.agatelane.core.config.ShardLayout;
import io.agatelane.core.config.StoredObject;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.wire.operator.ConfigObject;
import io.agatelane.wire.store.AcceptedChange;
import io.agatelane.wire.store.ConfigHead;
import io.agatelane.wire.store.ConfigShard;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Converts heads and shards between their stored protobuf form and the value types of the core module. */
final class StoreCodec {
    private StoreCodec() {}

    static ConfigHead encode(Head head) {
        ConfigHead.Builder builder = ConfigHead.newBuilder()
                .setRevision(head.revision())
                .addAllShardVersions(head.shardVersions())
                .addAllShardChecksums(head.shardChecksums());
        for (Change change : head.recentChanges()) {
            builder.addRecentChanges(AcceptedChange.newBuilder()
                    .setChangeId(change.id())
                    .setRevision(change.revision())
                    .setKind(ObjectCodec.toWire(change.key().kind()))
                    .setName(change.key().name()));
        }
        return builder.build();
    }

    static Head decodeHead(byte[] bytes) {
        try {
            return decode(ConfigHead.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw unreadable(ShardLayout.HEAD_KEY, e);
        }
    }

    static Head decode(ConfigHead head) {
        if (head.equals(ConfigHead.getDefaultInstance())) {
            return Head.empty();
        }
        List<Change> changes = new ArrayList<>();
        for (AcceptedChange change : head.getRecentChangesList()) {
            ObjectKey key = ObjectCodec.key(change.getKind(), change.getName());
            changes.add(new Change(change.getChangeId(), change.getRevision(), key));
        }
        try {
            return new Head(head.getRevision(), head.getShardVersionsList(), head.getShardChecksumsList(), changes);
        } catch (IllegalArgumentException e) {
            throw unreadable(ShardLayout.HEAD_KEY, e);
        }
    }

    static ConfigShard decodeShard(String key, byte[] bytes) {
        try {
            return ConfigShard.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw unreadable(key, e);
        }
    }

    static Shard decode(ConfigShard shard) {
        // An object of a kind that this software version does not know stays in the message but is not used.
        List<StoredObject> objects = shard.getObjectsList().stream()
                .filter(object -> object.getSpecCase() != ConfigObject.SpecCase.SPEC_NOT_SET)
                .map(ObjectCodec::decode)
                .toList();
        return new Shard(shard.getIndex(), shard.getVersion(), objects);
    }

    static long checksum(ConfigShard shard) {
        return ShardLayout.checksum(shard.toByteArray());
    }

    /**
     * Returns the next version of a shard with one object replaced, added or removed. The other objects are copied as
     * messages, so that fields of a newer schema are preserved.
     */
    static ConfigShard replaceObject(ConfigShard before, long version, ObjectKey key, ConfigObject replacement) {
        List<ConfigObject> objects = new ArrayList<>();
        for (ConfigObject object : before.getObjectsList()) {
            boolean known = object.getSpecCase() != ConfigObject.SpecCase.SPEC_NOT_SET;
            if (!known || !ObjectCodec.key(object).equals(key)) {
                objects.add(object);
            }
        }
        if (replacement != null) {
            objects.add(replacement);
        }
        objects.sort(Comparator.comparing(ConfigObject::getSpecCase).thenComparing(ConfigObject::getName));
        return ConfigShard.newBuilder()
                .setIndex(ShardLayout.shardOf(key))
                .setVersion(version)
                .addAllObjects(objects)
                .build();
    }

    private static AgatelaneException unreadable(String key, Exception cause) {
        return new AgatelaneException(FailureType.INTERNAL, "the stored value cannot be read: " + cause, cause)
                .withLocation(key);
    }
}
