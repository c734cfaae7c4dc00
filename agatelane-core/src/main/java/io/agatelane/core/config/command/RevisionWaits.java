package io.agatelane.core.config.command;

import io.agatelane.core.config.query.RouterRevision;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Tracks operator calls that wait until a revision is in force on all live routers. Not thread-safe.
 *
 * @param <T> type of the value that identifies a wait to the caller
 */
public final class RevisionWaits<T> {
    private final long queryAfterMillis;
    private final List<Wait<T>> waits = new ArrayList<>();
    private final Map<String, Long> confirmed = new HashMap<>();

    /**
     * Creates a tracker without waits.
     *
     * @param queryAfterMillis duration of a wait after which routers whose gossip has not confirmed the revision are
     *     queried directly
     */
    public RevisionWaits(long queryAfterMillis) {
        this.queryAfterMillis = queryAfterMillis;
    }

    /** Adds a wait for a revision that ends after {@code waitMillis} at the latest. */
    public void add(T owner, long revision, long nowMillis, long waitMillis) {
        waits.add(new Wait<>(owner, revision, nowMillis, waitMillis));
    }

    public boolean isEmpty() {
        return waits.isEmpty();
    }

    /** Records the revision that a queried router reported. It is valid only for this start of the router's process. */
    public void confirm(String name, long incarnation, long revision) {
        confirmed.merge(identity(name, incarnation), revision, Math::max);
    }

    /** Removes the waits that are complete or have timed out, and determines which routers to query. */
    public Evaluation<T> evaluate(long nowMillis, Collection<RouterRevision> liveRouters) {
        List<EndedWait<T>> ended = new ArrayList<>();
        TreeSet<String> toQuery = new TreeSet<>();
        for (Iterator<Wait<T>> iterator = waits.iterator(); iterator.hasNext(); ) {
            Wait<T> wait = iterator.next();
            List<String> routersBehind = routersBehind(wait.revision, liveRouters);
            long waitedMillis = nowMillis - wait.startMillis;
            if (routersBehind.isEmpty() || waitedMillis >= wait.waitMillis) {
                iterator.remove();
                ended.add(new EndedWait<>(wait.owner, routersBehind.isEmpty()));
            } else if (waitedMillis >= queryAfterMillis) {
                toQuery.addAll(routersBehind);
            }
        }
        if (waits.isEmpty()) {
            confirmed.clear();
        }
        return new Evaluation<>(ended, List.copyOf(toQuery));
    }

    private List<String> routersBehind(long revision, Collection<RouterRevision> liveRouters) {
        return liveRouters.stream()
                .filter(router -> router.revision() < revision)
                .filter(router -> confirmed.getOrDefault(identity(router.name(), router.incarnation()), 0L) < revision)
                .map(RouterRevision::name)
                .toList();
    }

    private static String identity(String name, long incarnation) {
        return name + "#" + incarnation;
    }

    /** Result of an evaluation: the waits that ended, and the names of the routers to query for their revision. */
    public record Evaluation<T>(List<EndedWait<T>> ended, List<String> routersToQuery) {}

    /**
     * A wait that has ended.
     *
     * @param inForceEverywhere true when the revision is in force on all live routers, false when the wait timed out
     */
    public record EndedWait<T>(T owner, boolean inForceEverywhere) {}

    private record Wait<T>(T owner, long revision, long startMillis, long waitMillis) {}
}
