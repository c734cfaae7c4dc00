package io.agatelane.core.config.query;

import io.agatelane.core.config.ConfigState;
import io.agatelane.core.config.ShardLayout;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Detects stored shard versions that no head can refer to any more. */
public final class ShardUse {
    private static final Pattern KEY =
            Pattern.compile(Pattern.quote(ShardLayout.SHARD_PREFIX) + "(\\d{1,4})/(\\d{1,18})");

    private ShardUse() {}

    /**
     * Returns whether a key holds a shard version that the current head does not list and that no later head can list.
     * A version that was written for a revision up to the current one and is not listed can no longer be committed.
     */
    public static boolean isUnused(ConfigState state, String key) {
        Matcher matcher = KEY.matcher(key);
        if (!matcher.matches()) {
            return false;
        }
        int index = Integer.parseInt(matcher.group(1));
        long version = Long.parseLong(matcher.group(2));
        return index < ShardLayout.SHARDS
                && ShardLayout.revisionOf(version) <= state.revision()
                && state.shard(index).version() != version;
    }
}
