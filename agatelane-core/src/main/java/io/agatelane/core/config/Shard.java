package io.agatelane.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One immutable version of a shard, a fixed part of the configuration's objects that is stored as one value.
 *
 * @param objects in key order
 */
public record Shard(int index, long version, List<StoredObject> objects) {
    public Shard {
        objects = List.copyOf(objects);
    }

    /** Returns the shard with version 0, which stands for one that was never written. */
    public static Shard empty(int index) {
        return new Shard(index, 0, List.of());
    }

    /** Returns the object with the given key, if this shard contains it. */
    public Optional<StoredObject> find(ObjectKey key) {
        return objects.stream().filter(object -> object.key().equals(key)).findFirst();
    }

    /** Returns a new version that contains the object, in place of any object with the same key. */
    public Shard with(StoredObject object, long newVersion) {
        List<StoredObject> changed = new ArrayList<>(without(object.key(), newVersion).objects);
        changed.add(object);
        changed.sort((a, b) -> a.key().compareTo(b.key()));
        return new Shard(index, newVersion, changed);
    }

    /** Returns a new version without the object of a key. */
    public Shard without(ObjectKey key, long newVersion) {
        List<StoredObject> rest =
                objects.stream().filter(object -> !object.key().equals(key)).toList();
        return new Shard(index, newVersion, rest);
    }
}
