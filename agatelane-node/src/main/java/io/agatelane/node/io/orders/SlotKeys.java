package io.agatelane.node.io.orders;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.orders.OrderTiming;
import io.agatelane.core.orders.command.LoadSlots;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.NodeContext;
import io.agatelane.wire.store.EngineOrder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Takes and releases the keys {@code orders/slots/<n>}, each of which permits one engine to load weights. Runs on the
 * control thread.
 */
final class SlotKeys {
    private static final String PREFIX = "orders/slots/";

    private final NodeContext context;
    private final KeyValueStore store;
    private final LoadSlots slots;
    private final Map<String, HeldSlot> heldSlots = new HashMap<>();
    private final Map<String, Long> pendingWriteMillis = new HashMap<>();

    SlotKeys(NodeContext context, KeyValueStore store, OrderTiming timing) {
        this.context = context;
        this.store = store;
        this.slots = new LoadSlots(timing);
    }

    private record HeldSlot(int index, long revision, long heldSinceMillis) {}

    /** Takes a slot for an engine. Returns the start time of the write that took it, or empty when no slot is free. */
    CompletableFuture<Optional<Long>> take(String upstream, Set<String> sameModel) {
        return store.list(PREFIX)
                .thenComposeAsync(values -> takeFreeSlot(parse(values), upstream, sameModel), context.control());
    }

    /** Releases a slot; if the deletion fails, it is repeated when this router next lists the slots. */
    void release(String upstream) {
        HeldSlot slot = heldSlots.remove(upstream);
        pendingWriteMillis.remove(upstream);
        if (slot != null) {
            delete(slot.index, slot.revision);
        }
    }

    private CompletableFuture<Optional<Long>> takeFreeSlot(
            List<LoadSlots.Slot> takenSlots, String upstream, Set<String> sameModel) {
        for (LoadSlots.Slot slot : takenSlots) {
            boolean own = slot.holderVm().equals(context.settings().vmName())
                    && slot.holderIncarnation() == context.incarnation();
            if (own && slot.upstream().equals(upstream) && pendingWriteMillis.containsKey(upstream)) {
                // The response to the write was lost; the slot counts as held since the start of that call.
                return CompletableFuture.completedFuture(Optional.of(
                        recordHeld(upstream, slot.index(), slot.revision(), pendingWriteMillis.get(upstream))));
            }
            if (own && !heldSlots.containsKey(slot.upstream()) && !pendingWriteMillis.containsKey(slot.upstream())) {
                delete(slot.index(), slot.revision());
            }
        }
        long startMillis = context.timers().monotonicMillis();
        Optional<LoadSlots.SlotChoice> choice = slots.choose(takenSlots, sameModel, startMillis);
        if (choice.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        pendingWriteMillis.put(upstream, startMillis);
        int index = choice.get().index();
        byte[] value = OrderCodec.encodeHolder(upstream, context.settings().vmName(), context.incarnation(), 0);
        return store.compareAndSet(PREFIX + index, choice.get().expectedRevision(), value)
                .handleAsync(
                        (revision, failure) -> failure == null
                                ? Optional.of(recordHeld(upstream, index, revision, startMillis))
                                : handleFailedWrite(upstream, AgatelaneException.from(failure)),
                        context.control());
    }

    private long recordHeld(String upstream, int index, long revision, long heldSinceMillis) {
        pendingWriteMillis.remove(upstream);
        heldSlots.put(upstream, new HeldSlot(index, revision, heldSinceMillis));
        return heldSinceMillis;
    }

    private Optional<Long> handleFailedWrite(String upstream, AgatelaneException failure) {
        if (failure.type() == FailureType.SWAP_LOST) {
            pendingWriteMillis.remove(upstream);
            return Optional.empty();
        }
        throw failure;
    }

    private void delete(int index, long revision) {
        var unused = store.compareAndDelete(PREFIX + index, revision);
    }

    private static List<LoadSlots.Slot> parse(List<KeyValue> values) {
        List<LoadSlots.Slot> takenSlots = new ArrayList<>();
        for (KeyValue value : values) {
            String suffix = value.key().substring(PREFIX.length());
            for (int index = 0; index < LoadSlots.SLOTS; index++) {
                if (suffix.equals(Integer.toString(index))) {
                    // A slot with a malformed value counts as taken until it counts as abandoned.
                    EngineOrder holder = OrderCodec.parse(value).orElse(EngineOrder.getDefaultInstance());
                    takenSlots.add(new LoadSlots.Slot(
                            index,
                            value.revision(),
                            holder.getUpstream(),
                            holder.getHolderVm(),
                            holder.getHolderIncarnation()));
                }
            }
        }
        return takenSlots;
    }
}
