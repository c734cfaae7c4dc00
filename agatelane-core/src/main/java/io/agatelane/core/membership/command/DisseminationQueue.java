package io.agatelane.core.membership.command;

import io.agatelane.core.membership.Hint;
import io.agatelane.core.membership.MemberRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Updates to be piggybacked on packets, each a bounded number of times; those sent least often are chosen first. */
final class DisseminationQueue {
    /** No item fits into fewer free bytes than this, so the search ends there. */
    private static final int SMALLEST_ITEM_BYTES = 16;

    private static final String HINT_PREFIX = "hint:";
    private static final String MEMBER_PREFIX = "member:";

    private final List<Map<String, Item>> itemsByTransmissions = new ArrayList<>();
    private final Map<String, Integer> transmissionsByKey = new HashMap<>();

    /** Queues a member record; it replaces an older one about the same member. */
    void add(MemberRecord member) {
        add(MEMBER_PREFIX + member.name(), new Item(member, null, member.sizeBytes()));
    }

    /** Queues a hint; it replaces an older one with the same key. */
    void add(Hint hint) {
        add(HINT_PREFIX + hint.key(), new Item(null, hint, hint.sizeBytes()));
    }

    boolean isEmpty() {
        return transmissionsByKey.isEmpty();
    }

    /** Selects items that fit and counts a transmission of each; items that reach the limit are dropped. */
    Selection select(int maxBytes, int transmissionLimit) {
        Selection selection = new Selection();
        List<SentItem> sentItems = new ArrayList<>();
        int freeBytes = maxBytes;
        for (int transmissions = 0; transmissions < itemsByTransmissions.size(); transmissions++) {
            Iterator<Map.Entry<String, Item>> items =
                    itemsByTransmissions.get(transmissions).entrySet().iterator();
            while (items.hasNext()) {
                Map.Entry<String, Item> entry = items.next();
                if (transmissions >= transmissionLimit) {
                    items.remove();
                    transmissionsByKey.remove(entry.getKey());
                } else if (entry.getValue().sizeBytes <= freeBytes) {
                    freeBytes -= entry.getValue().sizeBytes;
                    selection.add(entry.getValue());
                    sentItems.add(new SentItem(entry.getKey(), entry.getValue(), transmissions + 1));
                    items.remove();
                } else if (freeBytes < SMALLEST_ITEM_BYTES) {
                    break;
                }
            }
        }
        for (SentItem sentItem : sentItems) {
            if (sentItem.transmissions < transmissionLimit) {
                put(sentItem.transmissions, sentItem.key, sentItem.item);
            } else {
                transmissionsByKey.remove(sentItem.key);
            }
        }
        return selection;
    }

    private void add(String key, Item item) {
        Integer oldTransmissions = transmissionsByKey.get(key);
        if (oldTransmissions != null) {
            itemsByTransmissions.get(oldTransmissions).remove(key);
        }
        put(0, key, item);
    }

    private void put(int transmissions, String key, Item item) {
        while (itemsByTransmissions.size() <= transmissions) {
            itemsByTransmissions.add(new LinkedHashMap<>());
        }
        itemsByTransmissions.get(transmissions).put(key, item);
        transmissionsByKey.put(key, transmissions);
    }

    private record Item(MemberRecord member, Hint hint, int sizeBytes) {}

    private record SentItem(String key, Item item, int transmissions) {}

    /** The updates selected for one packet. */
    static final class Selection {
        final List<MemberRecord> members = new ArrayList<>();
        final List<Hint> hints = new ArrayList<>();

        private void add(Item item) {
            if (item.member != null) {
                members.add(item.member);
            } else {
                hints.add(item.hint);
            }
        }
    }
}
