package io.agatelane.core.config;

import com.dynatrace.hash4j.hashing.Hashing;
import io.agatelane.core.hash.Rendezvous;

/** Keys, versions and sizes with which the configuration is stored in the platform's key-value store. */
public final class ShardLayout {
    /** Number of shards. 13,000 client accounts give about 60 KB per shard, far below the 1 MB limit of a value. */
    public static final int SHARDS = 64;

    /** Largest size of a shard in bytes. A value of the platform's key-value store holds at most 1 MB. */
    public static final int MAX_SHARD_BYTES = 900_000;

    /** Key of the head. */
    public static final String HEAD_KEY = "config/head";

    /** Prefix of the keys of all shard versions. */
    public static final String SHARD_PREFIX = "config/shard/";

    private static final int SALT_BITS = 16;

    private ShardLayout() {}

    /** Returns the index of the shard that contains an object. */
    public static int shardOf(ObjectKey key) {
        return (int) Long.remainderUnsigned(Rendezvous.hash(key.toString()), SHARDS);
    }

    /** Returns the store key of one version of a shard. */
    public static String shardKey(int index, long version) {
        return SHARD_PREFIX + index + "/" + version;
    }

    /**
     * Returns the version of a shard that is written for a revision. With different salts, two writers that try to
     * commit the same revision write different keys, so that neither overwrites the bytes to which the other's head
     * refers.
     *
     * @param salt differs between attempts; the lowest 16 bits are used
     */
    public static long versionFor(long revision, long salt) {
        return (revision << SALT_BITS) | (salt & ((1L << SALT_BITS) - 1));
    }

    /** Returns the revision for which a shard version was written. */
    public static long revisionOf(long version) {
        return version >> SALT_BITS;
    }

    /** Returns the checksum of a shard's bytes that the head lists. */
    public static long checksum(byte[] bytes) {
        return Hashing.xxh3_64().hashBytesToLong(bytes);
    }
}
