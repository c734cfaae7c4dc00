package io.agatelane.core.config.query;

import io.agatelane.core.hash.Rendezvous;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the routers that perform a task by rendezvous hashing, so that routers that see the same fleet agree without
 * exchanging messages.
 */
public final class RouterRanking {
    /** Number of routers in a region that watch the head. With two, the loss of one delays no update. */
    public static final int WATCHERS_PER_REGION = 2;

    private RouterRanking() {}

    /** Returns the routers that watch the configuration head for a region, in rank order. */
    public static List<String> watchers(String region, Collection<String> liveRouters) {
        return ranked("config/watch/" + region, liveRouters, WATCHERS_PER_REGION);
    }

    /** Returns up to {@code count} routers with the highest rendezvous weights for a task, the highest first. */
    public static List<String> ranked(String task, Collection<String> liveRouters, int count) {
        long taskHash = Rendezvous.hash(task);
        Comparator<String> byWeight = (a, b) -> Long.compareUnsigned(
                Rendezvous.weight(taskHash, Rendezvous.hash(b)), Rendezvous.weight(taskHash, Rendezvous.hash(a)));
        return liveRouters.stream()
                .sorted(byWeight.thenComparing(Comparator.naturalOrder()))
                .limit(count)
                .toList();
    }
}
