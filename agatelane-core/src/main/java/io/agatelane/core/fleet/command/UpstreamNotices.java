package io.agatelane.core.fleet.command;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What upstreams have said in their responses about the requests that they want: that they leave, or that they want none
 * for some time. Thread-safe.
 *
 * <p>Answers the load of a planned removal, where the directory lists an upstream as ready for some time after it has
 * announced its end, and of an upstream that is overloaded for longer than a retry takes.
 */
public final class UpstreamNotices {
    /** Longest pause that an upstream can ask for. */
    public static final long MAX_PAUSE_MILLIS = 300_000;

    // An upstream that leaves still serves for a moment, which is used only where no other one can. Shorter than any
    // time within which requests must stop.
    private static final long LEAVING_GRACE_MILLIS = 1_000;
    // An entry that lapses with the store's outage comes back, and the upstream is still leaving then.
    private static final long REMEMBERED_MILLIS = 600_000;

    private final Map<String, Long> leavingSinceMillis = new ConcurrentHashMap<>();
    private final Map<String, Long> pausedUntilMillis = new ConcurrentHashMap<>();

    /** Records that an incarnation of an upstream leaves; returns whether that is new. */
    public boolean recordLeaving(String upstreamKey, long nowMillis) {
        return leavingSinceMillis.putIfAbsent(upstreamKey, nowMillis) == null;
    }

    /**
     * Records that an upstream wants no requests for some time, at most {@link #MAX_PAUSE_MILLIS}. A shorter pause does
     * not end a longer one that was asked for before.
     *
     * @return whether the upstream was not paused before
     */
    public boolean recordPause(String upstreamKey, long pauseMillis, long nowMillis) {
        long untilMillis = nowMillis + Math.min(MAX_PAUSE_MILLIS, pauseMillis);
        boolean isNew = pauseMillis(upstreamKey, nowMillis) == 0;
        pausedUntilMillis.merge(upstreamKey, untilMillis, Math::max);
        return isNew;
    }

    /** Whether an upstream has announced that it leaves. */
    public boolean isLeaving(String upstreamKey) {
        return leavingSinceMillis.containsKey(upstreamKey);
    }

    /** Whether an upstream leaves, but can still be used where no other one can serve. */
    public boolean isUsableAsLast(String upstreamKey, long nowMillis) {
        Long since = leavingSinceMillis.get(upstreamKey);
        return since != null && nowMillis - since < LEAVING_GRACE_MILLIS;
    }

    /** Returns for how much longer an upstream wants no requests; 0 when it takes them. */
    public long pauseMillis(String upstreamKey, long nowMillis) {
        return Math.max(0, pausedUntilMillis.getOrDefault(upstreamKey, nowMillis) - nowMillis);
    }

    /** Forgets pauses that have ended, and upstreams that left long ago and are not listed any more. */
    public void forgetOld(Set<String> listedKeys, long nowMillis) {
        pausedUntilMillis.values().removeIf(until -> until <= nowMillis);
        leavingSinceMillis
                .entrySet()
                .removeIf(entry ->
                        !listedKeys.contains(entry.getKey()) && nowMillis - entry.getValue() > REMEMBERED_MILLIS);
    }
}
