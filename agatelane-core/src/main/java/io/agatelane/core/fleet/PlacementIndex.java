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
 * Where shared prompt parts were sent lately, by this router and its peers. Bounded and thread-safe.
 *
 * <p>An engine drops the parts it has not used for longest. How much it has read since a part was used tells whether the
 * part is still there; no cache events are needed.
 */
public final class PlacementIndex {
    private static final int CAPACITY = 20_000;
    private static final int MAX_HOLDERS = 4;
    // Parts that are read at one time, and those whose reading has failed.
    private static final int MAX_READERS = 2_000;
    private static final float LOAD_FACTOR = 0.75f;
    // Placements that were not sent to the peers yet; older ones are dropped, which costs at most a transfer.
    private static final int MAX_UNSENT = 256;

    private final Map<Long, Map<Long, Long>> readTokensAtUse = new LinkedHashMap<>(1_024, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Map<Long, Long>> eldest) {
            return size() > CAPACITY;
        }
    };
    private final Map<Long, Long> readTokens = new HashMap<>();
    // Needs no time limit: a holder that failed to read a part reads it when the next request follows the entry.
    private final Map<Long, Long> readers = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_READERS;
        }
    };
    private final Deque<Placement> unsent = new ArrayDeque<>();

    /**
     * A use of a part.
     *
     * @param part hash of cache salt and part
     * @param holder hash of the engine's key or the store's address
     * @param tokens tokens that the holder has taken into its memory for the request; 0 while it still reads the part
     */
    public record Placement(long part, long holder, int tokens) {}

    /** Records a use that this router has seen. */
    public synchronized void placed(Placement placement) {
        apply(placement);
        unsent.addLast(placement);
        if (unsent.size() > MAX_UNSENT) {
            unsent.removeFirst();
        }
    }

    /** Records a use that a peer has seen. */
    public synchronized void heard(Placement placement) {
        apply(placement);
    }

    /** Takes the uses that the peers were not told yet. */
    public synchronized List<Placement> takeUnsent() {
        List<Placement> taken = new ArrayList<>(unsent);
        unsent.clear();
        return taken;
    }

    /** Whether a holder probably still has a part, given how many tokens of unused parts it can keep. */
    public synchronized boolean holds(long part, long holder, double keptTokens) {
        Map<Long, Long> uses = readTokensAtUse.get(part);
        Long atUse = uses == null ? null : uses.get(holder);
        return atUse != null && readTokens.getOrDefault(holder, 0L) - atUse < keptTokens;
    }

    /** The holder that a request was sent to which reads a part; empty when the part was read since, or never. */
    public synchronized OptionalLong reader(long part) {
        Long reader = readers.get(part);
        return reader == null ? OptionalLong.empty() : OptionalLong.of(reader);
    }

    private void apply(Placement placement) {
        if (placement.tokens() == 0) {
            readers.put(placement.part(), placement.holder());
            return;
        }
        readers.remove(placement.part(), placement.holder());
        long read = readTokens.merge(placement.holder(), (long) placement.tokens(), Long::sum);
        Map<Long, Long> uses = readTokensAtUse.computeIfAbsent(placement.part(), part -> new LinkedHashMap<>());
        uses.remove(placement.holder());
        uses.put(placement.holder(), read);
        if (uses.size() > MAX_HOLDERS) {
            uses.remove(uses.keySet().iterator().next());
        }
    }
}
