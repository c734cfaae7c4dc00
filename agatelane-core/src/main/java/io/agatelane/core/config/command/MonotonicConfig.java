package io.agatelane.core.config.command;

import io.agatelane.core.config.Change;
import io.agatelane.core.config.ConfigState;
import io.agatelane.core.config.Head;
import java.util.Optional;

/**
 * Holds the newest configuration state that a router has received. It moves only to newer states of the same history,
 * also when the platform was restored to an older one. Not thread-safe.
 */
public final class MonotonicConfig {
    private ConfigState state = ConfigState.empty();

    public ConfigState state() {
        return state;
    }

    /** Compares a head with the head of the current state. */
    public HeadRelation assess(Head head) {
        Head current = state.head();
        if (head.revision() < current.revision()) {
            return continues(current, head) ? HeadRelation.REGRESSED : HeadRelation.DIVERGED;
        }
        if (head.revision() == current.revision()) {
            boolean same = head.shardVersions().equals(current.shardVersions())
                    && head.shardChecksums().equals(current.shardChecksums())
                    && head.changeAt(head.revision()).equals(current.changeAt(current.revision()));
            return same ? HeadRelation.CURRENT : HeadRelation.DIVERGED;
        }
        return continues(head, current) ? HeadRelation.NEWER : HeadRelation.DIVERGED;
    }

    /** Moves to a newer state. Returns false and changes nothing when it does not continue the current state. */
    public boolean advance(ConfigState newState) {
        if (assess(newState.head()) != HeadRelation.NEWER) {
            return false;
        }
        state = newState;
        return true;
    }

    // Each head lists its most recent changes, so the newest change of an older head of the same history is among them
    // unless too many changes followed.
    private static boolean continues(Head newer, Head older) {
        Optional<Change> newestOfOlder = older.recentChanges().stream().findFirst();
        if (newestOfOlder.isEmpty() || newer.revision() - older.revision() >= Head.MAX_RECENT_CHANGES) {
            return true;
        }
        return newer.changeAt(older.revision()).equals(newestOfOlder);
    }
}
