package io.agatelane.core.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/**
 * Root record of the stored configuration. It names the version of each shard at one revision; writing it commits a
 * change.
 *
 * @param shardVersions version of each shard; 0 for a shard that was never written
 * @param shardChecksums checksum of each shard's bytes; 0 for a shard that was never written
 * @param recentChanges the most recent changes, newest first, at most {@link #MAX_RECENT_CHANGES}
 */
public record Head(long revision, List<Long> shardVersions, List<Long> shardChecksums, List<Change> recentChanges) {
    /** Number of changes that a head lists. A repeated change is recognised only if it is one of them. */
    public static final int MAX_RECENT_CHANGES = 512;

    public Head {
        shardVersions = List.copyOf(shardVersions);
        shardChecksums = List.copyOf(shardChecksums);
        recentChanges = List.copyOf(recentChanges);
        if (shardVersions.size() != ShardLayout.SHARDS || shardChecksums.size() != ShardLayout.SHARDS) {
            throw new IllegalArgumentException("a head lists " + ShardLayout.SHARDS + " shards, found "
                    + shardVersions.size() + " versions and " + shardChecksums.size() + " checksums");
        }
    }

    /** Returns the head of an empty configuration at revision 0. */
    public static Head empty() {
        List<Long> zeros = Collections.nCopies(ShardLayout.SHARDS, 0L);
        return new Head(0, zeros, zeros, List.of());
    }

    /** Returns the head after one more change of one shard. */
    public Head withChange(Change change, int shardIndex, long shardVersion, long shardChecksum) {
        List<Long> versions = new ArrayList<>(shardVersions);
        versions.set(shardIndex, shardVersion);
        List<Long> checksums = new ArrayList<>(shardChecksums);
        checksums.set(shardIndex, shardChecksum);
        List<Change> changes = new ArrayList<>();
        changes.add(change);
        changes.addAll(recentChanges.subList(0, Math.min(recentChanges.size(), MAX_RECENT_CHANGES - 1)));
        return new Head(change.revision(), versions, checksums, changes);
    }

    /**
     * Returns this head with the changes of an older head of the same history appended. This completes the head that a
     * peer sends, which lists only the changes since the revision that the caller knows.
     */
    public Head withOlderChanges(Head older) {
        long oldest = recentChanges.isEmpty()
                ? Long.MAX_VALUE
                : recentChanges.get(recentChanges.size() - 1).revision();
        List<Change> changes = new ArrayList<>(recentChanges);
        older.recentChanges.stream()
                .filter(change -> change.revision() < oldest)
                .forEach(changes::add);
        return new Head(
                revision,
                shardVersions,
                shardChecksums,
                changes.subList(0, Math.min(changes.size(), MAX_RECENT_CHANGES)));
    }

    /** Returns this head without the changes before a revision. */
    public Head withChangesSince(long firstRevision) {
        List<Change> changes = recentChanges.stream()
                .filter(change -> change.revision() >= firstRevision)
                .toList();
        return new Head(revision, shardVersions, shardChecksums, changes);
    }

    /** Returns the accepted change with an identity, if this head lists it. */
    public Optional<Change> change(String id) {
        return recentChanges.stream().filter(change -> change.id().equals(id)).findFirst();
    }

    /** Returns the accepted change with a revision, if this head lists it. */
    public Optional<Change> changeAt(long changeRevision) {
        return recentChanges.stream()
                .filter(change -> change.revision() == changeRevision)
                .findFirst();
    }
}
