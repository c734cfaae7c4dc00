package io.agatelane.node.config;

import io.agatelane.core.config.ConfigState;
import io.agatelane.core.config.Shard;
import io.agatelane.core.config.ShardLayout;
import io.agatelane.wire.store.ConfigShard;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.stream.IntStream;

/**
 * A configuration state together with the messages from which its shards were decoded. Responses to peers and changes
 * are built from the messages, because these preserve fields of a newer schema.
 */
record LoadedConfig(ConfigState state, List<ConfigShard> messages) {
    LoadedConfig {
        messages = List.copyOf(messages);
    }

    static LoadedConfig empty() {
        return new LoadedConfig(
                ConfigState.empty(),
                IntStream.range(0, ShardLayout.SHARDS)
                        .mapToObj(index ->
                                ConfigShard.newBuilder().setIndex(index).build())
                        .toList());
    }

    /** Returns the configuration at a newer state; ignores changed messages whose version the state does not use. */
    LoadedConfig with(ConfigState newState, Collection<ConfigShard> changed) {
        List<ConfigShard> newMessages = new ArrayList<>(messages);
        for (Shard shard : newState.shards()) {
            if (shard.version() == 0) {
                newMessages.set(
                        shard.index(),
                        ConfigShard.newBuilder().setIndex(shard.index()).build());
            }
        }
        for (ConfigShard message : changed) {
            if (newState.shard(message.getIndex()).version() == message.getVersion()) {
                newMessages.set(message.getIndex(), message);
            }
        }
        return new LoadedConfig(newState, newMessages);
    }

    long revision() {
        return state.revision();
    }
}
