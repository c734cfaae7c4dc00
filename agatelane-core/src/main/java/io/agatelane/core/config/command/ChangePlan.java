package io.agatelane.core.config.command;

import io.agatelane.core.config.Change;
import io.agatelane.core.config.ConfigState;
import io.agatelane.core.config.Head;
import io.agatelane.core.config.Shard;

/**
 * Writes that make up a change: first the shard, then the head that commits it.
 *
 * @param repeat whether the change was accepted before, so that nothing has to be written
 */
public record ChangePlan(ConfigState base, Change change, Shard shard, boolean repeat) {
    /** Returns the head that commits the change; it contains the checksum of the shard's encoded bytes. */
    public Head head(long shardChecksum) {
        return base.head().withChange(change, shard.index(), shard.version(), shardChecksum);
    }
}
