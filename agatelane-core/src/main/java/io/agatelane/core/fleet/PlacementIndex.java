package io.agatelane.core.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Index of the engines and stores that recently received shared prompt parts from this router or its peers. Bounded and
 * thread-safe.
 *
 * <p>An engine evicts the least recently used parts first. Whether it still has a part is therefore estimated from the
 * number of tokens that it has added to its cache since the part was last used; no cache events are needed.
 */
public final class PlacementIndex {
    private static final int MAX_PARTS = 20_000;
    private static final int MAX_HOLDERS_PER_PART = 4;
    // Parts whose prefill is in progress, and those whose prefill has failed.
    private static final int MAX_PREFILLS = 2_000;
    private static final float LOAD_FACTOR = 0.75f;
    // Placements that have not been sent to the peers yet; the oldest are dropped, which costs at most a cache
    // transfer.
    private static final int MAX_UNSENT_PLACEMENTS = 256;

    private final Map<Long, Map<Long, Long>> addedTokensAtUse = new LinkedHashMap<>(1_024, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Map<Long, Long>> eldest) {
            return size() > MAX_PARTS;
        }
    };
    private final Map<Long, Long> addedTokens = new HashMap<>();
    // Needs no expiry: after a failed prefill, the next request is sent to the same holder, which then prefills the
    // part.
    private final Map<Long, Long> prefillingHolders = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_PREFILLS;
        }
    };
    private final Deque<Placement> unsent = new ArrayDeque<>();

    /**
     * The use of a prompt part at a holder.
     *
     * @param part hash of the cache salt and the part's id
     * @param holder hash of the engine's key or the store's address
     * @param tokens tokens that the holder has added to its cache for the request; 0 while the prefill of the part is
     *     in progress
     */
    public record Placement(long part, long holder, int tokens) {}

    /** Records a use observed by this router and queues it for its peers. */
    public synchronized void recordLocal(Placement placement) {
        apply(placement);
        unsent.addLast(placement);
        if (unsent.size() > MAX_UNSENT_PLACEMENTS) {
            unsent.removeFirst();
        }
    }

    /** Records a use that a peer has reported. */
    public synchronized void recordFromPeer(Placement placement) {
        apply(placement);
    }

    /** Removes and returns the uses that have not been sent to the peers yet. */
    public synchronized List<Placement> takeUnsent() {
        List<Placement> taken = new ArrayList<>(unsent);
        unsent.clear();
        return taken;
    }

    /** Whether a holder probably still has a part, given how many tokens of unused parts fit into its cache. */
    public synchronized boolean holds(long part, long holder, double cacheTokens) {
        Map<Long, Long> uses = addedTokensAtUse.get(part);
        Long atUse = uses == null ? null : uses.get(holder);
        return atUse != null && addedTokens.getOrDefault(holder, 0L) - atUse < cacheTokens;
    }

    /**
     * Returns the holder at which the prefill of a part is in progress; empty when it has ended or was never started.
     */
    public synchronized OptionalLong prefillingHolder(long part) {
        Long holder = prefillingHolders.get(part);
        return holder == null ? OptionalLong.empty() : OptionalLong.of(holder);
    }

    private void apply(Placement placement) {
        if (placement.tokens() == 0) {
            prefillingHolders.put(placement.part(), placement.holder());
            return;
        }
        prefillingHolders.remove(placement.part(), placement.holder());
        long added = addedTokens.merge(placement.holder(), (long) placement.tokens(), Long::sum);
        Map<Long, Long> uses = addedTokensAtUse.computeIfAbsent(placement.part(), part -> new LinkedHashMap<>());
        uses.remove(placement.holder());
        uses.put(placement.holder(), added);
        if (uses.size() > MAX_HOLDERS_PER_PART) {
            uses.remove(uses.keySet().iterator().next());
        }
    }
}
