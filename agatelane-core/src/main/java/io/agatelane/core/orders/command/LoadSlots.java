package io.agatelane.core.orders.command;

import io.agatelane.core.orders.OrderTiming;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses a slot for a weight load. Slots are keys in the platform's store that limit how many engines load weights at
 * once. Also detects slots whose holder has failed. Not thread-safe.
 */
public final class LoadSlots {
    /** Largest number of engines in the fleet that load weights at the same time. */
    public static final int SLOTS = 2;

    private final OrderTiming timing;
    private final Map<Integer, ObservedRevision> observed = new HashMap<>();

    public LoadSlots(OrderTiming timing) {
        this.timing = timing;
    }

    /** A taken slot, as read from its key. */
    public record Slot(int index, long revision, String upstream, String holderVm, long holderIncarnation) {}

    /** A slot to take by a compare-and-swap on the expected revision, which is 0 when the key does not exist. */
    public record SlotChoice(int index, long expectedRevision) {}

    /**
     * Chooses a free slot, else an abandoned one; empty when no slot may be taken now. A slot is abandoned when its key
     * has not changed for the longest time between taking it and the end of the load; its holder must not start a load
     * any more.
     *
     * @param sameModel engines with the same model as the one that is to load, including that one
     */
    public Optional<SlotChoice> choose(List<Slot> taken, Set<String> sameModel, long nowMillis) {
        observe(taken, nowMillis);
        Set<Integer> busy = new HashSet<>();
        int loadingSameModel = 0;
        SlotChoice abandoned = null;
        for (Slot slot : taken) {
            if (nowMillis - observed.get(slot.index()).observedMillis >= timing.takeoverMillis()) {
                abandoned = new SlotChoice(slot.index(), slot.revision());
            } else if (sameModel.contains(slot.upstream())) {
                loadingSameModel++;
            }
            busy.add(slot.index());
        }
        // If several engines have the model, at least one of them must keep serving.
        if (sameModel.size() > 1 && loadingSameModel + 1 >= sameModel.size()) {
            return Optional.empty();
        }
        for (int index = 0; index < SLOTS; index++) {
            if (!busy.contains(index)) {
                return Optional.of(new SlotChoice(index, 0));
            }
        }
        return Optional.ofNullable(abandoned);
    }

    private void observe(List<Slot> taken, long nowMillis) {
        Set<Integer> present = new HashSet<>();
        for (Slot slot : taken) {
            present.add(slot.index());
            ObservedRevision old = observed.get(slot.index());
            if (old == null || old.revision != slot.revision()) {
                observed.put(slot.index(), new ObservedRevision(slot.revision(), nowMillis));
            }
        }
        observed.keySet().retainAll(present);
    }

    private record ObservedRevision(long revision, long observedMillis) {}
}
